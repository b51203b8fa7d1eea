package org.borageproxy.placement;

import java.time.Duration;

/**
 * The demand for one model or adapter as two exponentially decaying averages. Immutable and thread safe.
 *
 * @param fast the average with the short time constant, in tokens per second
 * @param slow the average with the long time constant, in tokens per second
 * @param computedAtNanos the time for which both are valid, on the monotonic clock
 */
public record DecayedDemand(double fast, double slow, long computedAtNanos) {

    private static final Duration FAST_TIME_CONSTANT = Duration.ofSeconds(5);
    private static final Duration SLOW_TIME_CONSTANT = Duration.ofMinutes(2);
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
    /** Demand below this value counts as none. */
    private static final double NEGLIGIBLE_TOKENS_PER_SECOND = 0.01;

    /**
     * Decays both averages to a later time.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the decayed averages
     */
    public DecayedDemand decayedTo(long nowNanos) {
        return new DecayedDemand(
                decay(fast, FAST_TIME_CONSTANT, nowNanos), decay(slow, SLOW_TIME_CONSTANT, nowNanos), nowNanos);
    }

    /**
     * Adds a request to both averages.
     *
     * @param tokens the cost of the request in tokens
     * @param nowNanos the time of its arrival on the monotonic clock in nanoseconds
     * @return the averages at that time, including the request
     */
    public DecayedDemand withArrival(long tokens, long nowNanos) {
        DecayedDemand now = decayedTo(nowNanos);
        return new DecayedDemand(
                now.fast + tokens / (double) FAST_TIME_CONSTANT.toSeconds(),
                now.slow + tokens / (double) SLOW_TIME_CONSTANT.toSeconds(),
                nowNanos);
    }

    /**
     * Returns whether the slow average is too small to report.
     *
     * @return {@code true} if it is negligible
     */
    boolean isNegligible() {
        return slow < NEGLIGIBLE_TOKENS_PER_SECOND;
    }

    private double decay(double average, Duration timeConstant, long nowNanos) {
        double seconds = Math.max(0, nowNanos - computedAtNanos) / NANOS_PER_SECOND;
        return average * Math.exp(-seconds / timeConstant.toSeconds());
    }
}
