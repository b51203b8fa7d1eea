package org.borageproxy.publication;

import java.time.Duration;

/**
 * Size and time limits on callers' requests. Immutable and thread safe.
 *
 * @param maxHeaderBytes the maximum size of a request's headers, in bytes
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param headerTimeout the maximum time until a request's headers are received
 * @param idleTimeout the maximum time that a connection stays open without a request
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /**
     * The limits before the first publication. They are generous, because the limits that will be published are
     * unknown.
     */
    public static final RequestLimits DEFAULT =
            new RequestLimits(64 << 10, 16 << 20, Duration.ofSeconds(10), Duration.ofSeconds(60));
}
