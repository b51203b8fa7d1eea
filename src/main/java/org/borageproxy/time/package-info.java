/** Monotonic time and deadlines; durations exist only as inputs to the computation of a deadline. */
package org.borageproxy.time;
