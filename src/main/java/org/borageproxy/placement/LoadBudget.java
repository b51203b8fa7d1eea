package org.borageproxy.placement;

import java.time.Duration;

/**
 * Limits the loads of models to what the weight store serves. Starts empty, so that a new owner orders nothing on top
 * of what the earlier one ordered. Time is an argument. Confined to one thread.
 */
final class LoadBudget {

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    /** Loads each second. */
    private final double loadsPerSecond;
    /** Loads that may be ordered at once after a pause. */
    private final double largestBurst;
    /** Loads that may be ordered now. */
    private double available;
    /** When the budget was computed last, on the monotonic clock in nanoseconds. */
    private long computedAtNanos;

    /**
     * Creates an empty budget.
     *
     * @param loadsPerSecond loads each second
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    LoadBudget(double loadsPerSecond, long nowNanos) {
        this.loadsPerSecond = loadsPerSecond;
        largestBurst = Math.max(1.0, loadsPerSecond);
        computedAtNanos = nowNanos;
    }

    /**
     * Adds what has become available.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    void refill(long nowNanos) {
        double seconds = (nowNanos - computedAtNanos) / NANOS_PER_SECOND;
        available = Math.min(largestBurst, available + seconds * loadsPerSecond);
        computedAtNanos = nowNanos;
    }

    /**
     * Returns how many loads may be ordered now.
     *
     * @return the number of loads
     */
    int available() {
        return (int) Math.floor(available + 1e-9);
    }

    /** Takes one load. */
    void consume() {
        available -= 1.0;
    }
}
