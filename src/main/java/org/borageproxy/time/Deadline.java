package org.borageproxy.time;

import java.time.Duration;

/**
 * A point on the monotonic clock of this process after which something no longer holds. Immutable and thread safe.
 *
 * @param atNanos the reading of the {@link MonotonicClock}, in nanoseconds, at which the deadline passes
 */
public record Deadline(long atNanos) implements Comparable<Deadline> {

    /** Nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    /**
     * Returns the deadline that lies a duration after a reading of the clock.
     *
     * @param nowNanos the reading of the clock in nanoseconds
     * @param duration the time until the deadline
     * @return the deadline
     */
    public static Deadline after(long nowNanos, Duration duration) {
        return new Deadline(nowNanos + duration.toNanos());
    }

    /**
     * Tells whether the deadline has passed.
     *
     * @param nowNanos the reading of the clock in nanoseconds
     * @return {@code true} if the deadline lies at or before the reading
     */
    public boolean hasPassed(long nowNanos) {
        return nowNanos - atNanos >= 0;
    }

    /**
     * Returns the time left.
     *
     * @param nowNanos the reading of the clock in nanoseconds
     * @return nanoseconds left, zero once the deadline has passed
     */
    public long remainingNanos(long nowNanos) {
        return Math.max(0L, atNanos - nowNanos);
    }

    /**
     * Returns the time left in milliseconds, rounded up.
     *
     * @param nowNanos the reading of the clock in nanoseconds
     * @return milliseconds left, zero once the deadline has passed
     */
    public long remainingMillis(long nowNanos) {
        return (remainingNanos(nowNanos) + NANOS_PER_MILLISECOND - 1) / NANOS_PER_MILLISECOND;
    }

    /**
     * Returns the earlier of two deadlines.
     *
     * @param other the other deadline
     * @return the deadline that passes first
     */
    public Deadline earlierOf(Deadline other) {
        return compareTo(other) <= 0 ? this : other;
    }

    @Override
    public int compareTo(Deadline other) {
        return Long.signum(atNanos - other.atNanos);
    }
}
