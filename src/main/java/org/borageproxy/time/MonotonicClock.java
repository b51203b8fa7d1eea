package org.borageproxy.time;

/**
 * Source of monotonic time in nanoseconds. Readings never decrease and are comparable only within one process.
 * Implementations are thread safe.
 */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Returns the current reading.
     *
     * @return nanoseconds since an arbitrary origin; may be negative
     */
    long nanoTime();

    /**
     * Returns the clock backed by {@link System#nanoTime()}.
     *
     * @return the monotonic clock of the running process
     */
    static MonotonicClock ofSystem() {
        return System::nanoTime;
    }
}
