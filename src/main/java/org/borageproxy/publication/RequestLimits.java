package org.borageproxy.publication;

import java.time.Duration;

/**
 * The bounds of what callers may send. Immutable and thread safe.
 *
 * @param maxHeaderBytes the most bytes of a request's head
 * @param maxBodyBytes the most bytes of a request's body
 * @param headerTimeout the longest time for sending a head
 * @param idleTimeout the longest time that a connection may stay without a request
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The bounds before any publication; generous, since the published ones are not known yet. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(64 << 10, 16 << 20, Duration.ofSeconds(10), Duration.ofSeconds(60));
}
