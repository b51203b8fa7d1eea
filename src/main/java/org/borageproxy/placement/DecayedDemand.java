package org.borageproxy.placement;

import java.time.Duration;

/**
 * The demand for one model or adapter as two exponentially decayed averages. Immutable and thread safe.
 *
 * @param fast the fast average in tokens each second
 * @param slow the slow average in tokens each second
 * @param computedAtNanos when both were computed, on the monotonic clock
 */
public record DecayedDemand(double fast, double slow, long computedAtNanos) {

    /** The time over which the fast average forgets. */
    private static final Duration FAST_TIME = Duration.ofSeconds(5);
    /** The time over which the slow average forgets. */
    private static final Duration SLOW_TIME = Duration.ofMinutes(2);
    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
    /** The demand below which there is none, in tokens each second. */
    private static final double NEGLIGIBLE = 0.01;

    /**
     * Returns the averages at a later time.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the decayed averages
     */
    public DecayedDemand decayedTo(long nowNanos) {
        return new DecayedDemand(decayed(fast, FAST_TIME, nowNanos), decayed(slow, SLOW_TIME, nowNanos), nowNanos);
    }

    /**
     * Adds an arrival.
     *
     * @param tokens its cost in tokens
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the averages with the arrival
     */
    public DecayedDemand withArrival(long tokens, long nowNanos) {
        DecayedDemand now = decayedTo(nowNanos);
        return new DecayedDemand(
                now.fast + tokens / (double) FAST_TIME.toSeconds(),
                now.slow + tokens / (double) SLOW_TIME.toSeconds(),
                nowNanos);
    }

    /**
     * Tells whether there is no demand to speak of.
     *
     * @return {@code true} if the slow average is negligible
     */
    boolean isNegligible() {
        return slow < NEGLIGIBLE;
    }

    /**
     * Returns an average at a later time.
     *
     * @param rate the average
     * @param time the time over which it forgets
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the decayed average
     */
    private double decayed(double rate, Duration time, long nowNanos) {
        double seconds = Math.max(0, nowNanos - computedAtNanos) / NANOS_PER_SECOND;
        return rate * Math.exp(-seconds / time.toSeconds());
    }
}
