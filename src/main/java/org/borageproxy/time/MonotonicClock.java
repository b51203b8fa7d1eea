package org.borageproxy.time;

/**
 * Source of monotonic time in nanoseconds. Readings never decrease and are comparable only within one process.
 * Implementations are safe for use by any thread.
 */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Reads the clock.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nanoTime();

    /**
     * Returns the clock of the running process.
     *
     * @return the system's monotonic clock
     */
    static MonotonicClock ofSystem() {
        return System::nanoTime;
    }
}
