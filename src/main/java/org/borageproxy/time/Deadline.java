package org.borageproxy.time;

import java.time.Duration;

/**
 * A point in time on the monotonic clock of this process. Differences are computed with wrap-around, so that readings
 * of any sign are compared correctly while they lie less than 2<sup>63</sup> nanoseconds apart. Immutable and thread
 * safe.
 *
 * @param atNanos the reading of the {@link MonotonicClock}, in nanoseconds, at which the deadline passes
 */
public record Deadline(long atNanos) implements Comparable<Deadline> {

    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    /**
     * Returns the deadline that lies the given duration after a reading of the clock.
     *
     * @param nowNanos the current reading of the clock in nanoseconds
     * @param duration the time until the deadline, at most 2<sup>63</sup> - 1 nanoseconds; a negative one gives a
     *     deadline that has passed
     * @return the deadline
     */
    public static Deadline after(long nowNanos, Duration duration) {
        return new Deadline(nowNanos + duration.toNanos());
    }

    /**
     * Returns whether the deadline has passed.
     *
     * @param nowNanos the current reading of the clock in nanoseconds
     * @return {@code true} if the deadline equals the reading or precedes it
     */
    public boolean hasPassed(long nowNanos) {
        return nowNanos - atNanos >= 0;
    }

    /**
     * Returns the time until the deadline in nanoseconds.
     *
     * @param nowNanos the current reading of the clock in nanoseconds
     * @return the remaining time, zero once the deadline has passed
     */
    public long remainingNanos(long nowNanos) {
        return Math.max(0L, atNanos - nowNanos);
    }

    /**
     * Returns the time until the deadline in milliseconds, rounded up so that it is zero only once the deadline has
     * passed.
     *
     * @param nowNanos the current reading of the clock in nanoseconds
     * @return the remaining time, zero once the deadline has passed
     */
    public long remainingMillis(long nowNanos) {
        return (remainingNanos(nowNanos) + NANOS_PER_MILLISECOND - 1) / NANOS_PER_MILLISECOND;
    }

    /**
     * Returns the earlier of two deadlines.
     *
     * @param other the other deadline
     * @return the deadline that passes first; this one if both are equal
     */
    public Deadline earlierOf(Deadline other) {
        return compareTo(other) <= 0 ? this : other;
    }

    @Override
    public int compareTo(Deadline other) {
        return Long.signum(atNanos - other.atNanos);
    }
}
