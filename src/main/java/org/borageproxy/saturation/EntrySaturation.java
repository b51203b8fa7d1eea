package org.borageproxy.saturation;

import java.time.Duration;

import org.borageproxy.control.Timer;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Saturation of an entry and its withdrawal from the load balancer, which the coordinator grants for a short time. An
 * entry without coordinator serves callers. Not thread safe; confined to one event loop.
 */
public final class EntrySaturation {

    private static final Logger LOGGER = LoggerFactory.getLogger(EntrySaturation.class);
    private static final double NANOS_PER_MILLISECOND = 1e6;

    private final MonotonicClock clock;
    private final SaturationMeter meter = new SaturationMeter();
    private Deadline withdrawnUntil;
    private boolean wasSaturated;
    private boolean wasWithdrawn;

    /**
     * Creates an entry that is not saturated.
     *
     * @param clock the clock
     */
    public EntrySaturation(MonotonicClock clock) {
        this.clock = clock;
        this.withdrawnUntil = new Deadline(clock.nanoTime());
    }

    /**
     * Returns a timer that measures its own delays, so that no further timer is needed for that.
     *
     * @param timer runs the tasks on the event loop
     * @return a timer that runs the same tasks at the same times
     */
    public Timer measuring(Timer timer) {
        return (delay, task) -> {
            Deadline due = Deadline.after(clock.nanoTime(), delay);
            timer.schedule(delay, () -> {
                long nowNanos = clock.nanoTime();
                meter.recordTimerDelay((nowNanos - due.atNanos()) / NANOS_PER_MILLISECOND, nowNanos);
                task.run();
            });
        };
    }

    /**
     * Samples the unsent bytes and returns whether the entry is saturated.
     *
     * @param connections the number of open connections of callers
     * @param unsent the number of those with unsent bytes
     * @return what the entry reports to the coordinator
     */
    public boolean sample(int connections, int unsent) {
        meter.recordUnsent(connections, unsent, clock.nanoTime());
        if (meter.isSaturated() != wasSaturated) {
            wasSaturated = meter.isSaturated();
            LOGGER.warn(
                    "event=vm-saturated saturated={} timer_delay_ms={} unsent_share={}",
                    wasSaturated,
                    Math.round(meter.delayMillis()),
                    Math.round(meter.unsentShare() * 100) / 100.0);
        }
        logWithdrawal();
        return wasSaturated;
    }

    /**
     * Applies the decision of the coordinator.
     *
     * @param isWithdrawn whether the entry is withdrawn
     * @param reportedAtNanos the clock reading at which the answered report was built
     */
    public void apply(boolean isWithdrawn, long reportedAtNanos) {
        // Earlier than on the coordinator, which counts from the receipt of the report.
        withdrawnUntil = Deadline.after(reportedAtNanos, isWithdrawn ? Withdrawals.VALIDITY : Duration.ZERO);
        logWithdrawal();
    }

    private void logWithdrawal() {
        if (isWithdrawn() != wasWithdrawn) {
            wasWithdrawn = isWithdrawn();
            LOGGER.warn("event=vm-withdrawn withdrawn={}", wasWithdrawn);
        }
    }

    /**
     * Returns whether the entry reports that it is not ready.
     *
     * @return {@code true} until the deadline of the coordinator's latest decision
     */
    public boolean isWithdrawn() {
        return !withdrawnUntil.hasPassed(clock.nanoTime());
    }

    /**
     * Returns the average delay of the timers.
     *
     * @return the delay in milliseconds
     */
    public double timerDelayMillis() {
        return meter.delayMillis();
    }
}
