package org.borageproxy.saturation;

import java.time.Duration;

import org.borageproxy.time.Deadline;

/**
 * Determines from the delays of timers and the unsent bytes whether a VM is saturated. The delay is an exponential
 * moving average of bounded samples, so that a single pause of the process does not count. A VM becomes saturated only
 * after a high level has lasted for a time, and ceases to be only after a low level has lasted for a longer time. Pure
 * state in the time of the caller; not thread safe.
 */
public final class SaturationMeter {

    /** Average delay of timers from which a VM is saturated; callers notice 100 ms. */
    static final double HIGH_DELAY_MILLIS = 60.0;
    /** Average delay up to which a VM counts as recovered. */
    static final double LOW_DELAY_MILLIS = 20.0;
    /** Time for which the high level has to last. */
    static final Duration ONSET = Duration.ofMillis(1500);
    /** Time for which the low level has to last. */
    static final Duration RECOVERY = Duration.ofSeconds(3);

    /** Share of the connections with unsent bytes from which the link, and not the callers, is slow. */
    private static final double HIGH_UNSENT_SHARE = 0.6;

    private static final double LOW_UNSENT_SHARE = 0.2;
    /** Number of connections below which the share says nothing. */
    private static final int MIN_CONNECTIONS = 5;

    private static final double SAMPLE_WEIGHT = 0.15;
    private static final double MAX_SAMPLE_MILLIS = 300.0;

    private double delayMillis;
    private double unsentShare;
    private boolean isSaturated;
    private Deadline changesAt;

    /**
     * Records by how much a timer ran later than scheduled.
     *
     * @param millis the delay in milliseconds
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void recordTimerDelay(double millis, long nowNanos) {
        delayMillis += SAMPLE_WEIGHT * (Math.min(MAX_SAMPLE_MILLIS, Math.max(0.0, millis)) - delayMillis);
        update(nowNanos);
    }

    /**
     * Records how many connections of callers have bytes that the kernel has not taken.
     *
     * @param connections the number of open connections
     * @param unsent the number of those with unsent bytes
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    public void recordUnsent(int connections, int unsent, long nowNanos) {
        double share = connections < MIN_CONNECTIONS ? 0.0 : unsent / (double) connections;
        unsentShare += SAMPLE_WEIGHT * (share - unsentShare);
        update(nowNanos);
    }

    private void update(long nowNanos) {
        boolean isHigh = delayMillis >= HIGH_DELAY_MILLIS || unsentShare >= HIGH_UNSENT_SHARE;
        boolean isLow = delayMillis <= LOW_DELAY_MILLIS && unsentShare <= LOW_UNSENT_SHARE;
        boolean isChanging = isSaturated ? isLow : isHigh;
        if (!isChanging) {
            changesAt = null;
        } else if (changesAt == null) {
            changesAt = Deadline.after(nowNanos, isSaturated ? RECOVERY : ONSET);
        } else if (changesAt.hasPassed(nowNanos)) {
            isSaturated = !isSaturated;
            changesAt = null;
        }
    }

    /**
     * Returns whether the VM is saturated, as of the latest sample.
     *
     * @return {@code true} from the end of the onset to the end of the recovery
     */
    public boolean isSaturated() {
        return isSaturated;
    }

    /**
     * Returns the average delay of the timers.
     *
     * @return the delay in milliseconds
     */
    public double delayMillis() {
        return delayMillis;
    }

    /**
     * Returns the average share of the connections that have unsent bytes.
     *
     * @return the share, from zero to one
     */
    public double unsentShare() {
        return unsentShare;
    }
}
