/** Monotonic time and deadlines. Callers pass deadlines rather than durations, so that time spent is counted once. */
package org.borageproxy.time;
