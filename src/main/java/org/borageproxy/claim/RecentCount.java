package org.borageproxy.claim;

import java.time.Duration;

/** Counts events of the last 350 to 700 ms. Not thread safe. */
final class RecentCount {

    private static final long PERIOD_NANOS = Duration.ofMillis(350).toNanos();

    private long periodBeganAtNanos;
    private int inPeriod;
    private int inPeriodBefore;

    /**
     * Counts an event.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    void record(long nowNanos) {
        update(nowNanos);
        inPeriod++;
    }

    /**
     * Returns the number of recent events.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the number
     */
    int count(long nowNanos) {
        update(nowNanos);
        return inPeriod + inPeriodBefore;
    }

    private void update(long nowNanos) {
        long periods = (nowNanos - periodBeganAtNanos) / PERIOD_NANOS;
        if (periods > 0) {
            inPeriodBefore = periods == 1 ? inPeriod : 0;
            inPeriod = 0;
            periodBeganAtNanos += periods * PERIOD_NANOS;
        }
    }
}
