package org.borageproxy.quota;

import java.time.Duration;

/**
 * Lifetimes and intervals of credit. Immutable and thread safe.
 *
 * @param creditLifetime the maximum lifetime of credit, from the time at which it was requested
 * @param writeOffMargin the time that the owner adds to a lifetime before it writes credit off
 * @param reportInterval the interval of reports from an entry that holds credit or has something to report
 * @param resendInterval the time after which an unanswered request is sent again
 * @param prefetchHorizon the time whose expected demand an entry holds as credit in advance
 * @param startUpPeriod the time after an owner's start after which a workspace unknown at the start counts as new
 */
public record QuotaSettings(
        Duration creditLifetime,
        Duration writeOffMargin,
        Duration reportInterval,
        Duration resendInterval,
        Duration prefetchHorizon,
        Duration startUpPeriod) {

    /** The settings for VMs with a network latency of a few milliseconds between them. */
    public static final QuotaSettings DEFAULT = new QuotaSettings(
            Duration.ofMillis(2_000),
            Duration.ofMillis(50),
            Duration.ofMillis(200),
            Duration.ofMillis(100),
            Duration.ofMillis(250),
            Duration.ofMillis(5_000));

    /** The rates of two VMs' monotonic clocks differ by at most one part in this number. */
    private static final long MAX_DRIFT_DIVISOR = 100;

    /**
     * Returns the part of a duration that has passed on every VM's clock when the whole has passed on this one.
     *
     * @param nanos the duration on this VM's clock, in nanoseconds
     * @return the shortened duration in nanoseconds
     */
    static long lessDrift(long nanos) {
        return nanos - nanos / MAX_DRIFT_DIVISOR;
    }

    /**
     * Returns when an owner may write off credit.
     *
     * @param nowNanos the owner's clock when it grants the credit
     * @param lifetimeNanos the lifetime in nanoseconds
     * @return the owner's clock from which no entry can spend the credit any more
     */
    long writeOffAtNanos(long nowNanos, long lifetimeNanos) {
        return nowNanos + lifetimeNanos + lifetimeNanos / MAX_DRIFT_DIVISOR * 2 + writeOffMargin.toNanos();
    }
}
