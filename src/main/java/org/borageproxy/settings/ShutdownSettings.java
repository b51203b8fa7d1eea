package org.borageproxy.settings;

/**
 * The time limits of a graceful shutdown. Immutable and thread safe.
 *
 * @param noticePeriodMillis the minimum time, in milliseconds, for which requests are still accepted after readiness is
 *     withdrawn, so that load balancers can detect it
 * @param timeoutMillis the time, in milliseconds, after which requests in flight are aborted, the notice included
 */
public record ShutdownSettings(long noticePeriodMillis, long timeoutMillis) {

    /** The time limits used if the settings file has none. */
    public static final ShutdownSettings DEFAULT = new ShutdownSettings(2_000, 120_000);

    /** Creates settings whose notice must not be negative and whose limit must not be below the notice. */
    public ShutdownSettings {
        if (noticePeriodMillis < 0 || timeoutMillis < noticePeriodMillis) {
            throw new IllegalArgumentException("limit_millis must be at least notice_millis, both not negative");
        }
    }
}
