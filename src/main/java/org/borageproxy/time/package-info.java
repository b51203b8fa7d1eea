/**
 * Monotonic time and deadlines. Callers pass deadlines rather than durations, so that one limit covers a whole call.
 */
package org.borageproxy.time;
