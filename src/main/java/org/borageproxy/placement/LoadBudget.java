package org.borageproxy.placement;

import java.time.Duration;

/**
 * Token bucket that limits the loads of models to the rate of the weight store. Starts empty, because the previous
 * placement owner may have used up the rate. Time is passed in. Confined to one thread.
 */
final class LoadBudget {

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final double loadsPerSecond;
    private final double capacity;
    private double availableLoads;
    private long refilledAtNanos;

    /**
     * Creates an empty bucket.
     *
     * @param loadsPerSecond the rate of loads per second; also the capacity, but at least one load
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    LoadBudget(double loadsPerSecond, long nowNanos) {
        this.loadsPerSecond = loadsPerSecond;
        capacity = Math.max(1.0, loadsPerSecond);
        refilledAtNanos = nowNanos;
    }

    /**
     * Adds the loads that have become available since the last refill.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    void refill(long nowNanos) {
        double elapsedSeconds = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
        availableLoads = Math.min(capacity, availableLoads + elapsedSeconds * loadsPerSecond);
        refilledAtNanos = nowNanos;
    }

    /**
     * Returns the number of loads that may be ordered now.
     *
     * @return the number of whole loads
     */
    int availableLoads() {
        return (int) Math.floor(availableLoads + 1e-9);
    }

    /** Consumes one load. */
    void consume() {
        availableLoads -= 1.0;
    }
}
