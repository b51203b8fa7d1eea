package org.borageproxy.quota;

import java.time.Duration;

/**
 * Times that govern credit; each goes into computing a deadline. Immutable and thread safe.
 *
 * @param creditLifetime the longest time that credit holds after it was asked for
 * @param writeOffMargin what the owner adds to a lifetime before it writes credit off
 * @param reportInterval how often an entry that holds credit or owes a report sends one
 * @param resendInterval when an unanswered request is sent again
 * @param prefetchHorizon the time whose demand an entry wants to hold as credit
 * @param startUpPeriod how long an owner serves before it trusts that a workspace it had not known is a new one
 */
public record QuotaSettings(
        Duration creditLifetime,
        Duration writeOffMargin,
        Duration reportInterval,
        Duration resendInterval,
        Duration prefetchHorizon,
        Duration startUpPeriod) {

    /** The settings of a fleet whose VMs are a few milliseconds apart. */
    public static final QuotaSettings DEFAULT = new QuotaSettings(
            Duration.ofMillis(2_000),
            Duration.ofMillis(50),
            Duration.ofMillis(200),
            Duration.ofMillis(100),
            Duration.ofMillis(250),
            Duration.ofMillis(5_000));

    /** The largest difference between the speeds of two monotonic clocks, as one part in this many. */
    private static final long DRIFT_DIVISOR = 100;

    /**
     * Returns the part of a duration that is over on every clock once the whole is over on this one.
     *
     * @param nanos the duration on this clock in nanoseconds
     * @return a shorter duration in nanoseconds
     */
    static long lessDrift(long nanos) {
        return nanos - nanos / DRIFT_DIVISOR;
    }

    /**
     * Returns when an owner may write off credit with a lifetime.
     *
     * @param nowNanos the reading of the owner's clock in nanoseconds
     * @param lifetimeNanos the lifetime in nanoseconds
     * @return the reading of the owner's clock at which no entry spends the credit any more
     */
    long writeOffAtNanos(long nowNanos, long lifetimeNanos) {
        return nowNanos + lifetimeNanos + lifetimeNanos / DRIFT_DIVISOR * 2 + writeOffMargin.toNanos();
    }
}
