package org.borageproxy.settings;

/**
 * The time limits of a graceful shutdown. Immutable and thread safe.
 *
 * @param noticeMillis how long requests are still accepted while the balancer notices, in milliseconds
 * @param limitMillis how long running requests may take before they are cut, in milliseconds
 */
public record ShutdownSettings(long noticeMillis, long limitMillis) {

    /** The limits that hold if the settings name none. */
    public static final ShutdownSettings DEFAULT = new ShutdownSettings(2_000, 120_000);

    /** Refuses negative times. */
    public ShutdownSettings {
        if (noticeMillis < 0 || limitMillis < noticeMillis) {
            throw new IllegalArgumentException("limit_millis must be at least notice_millis, both not negative");
        }
    }
}
