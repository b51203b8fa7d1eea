package org.borageproxy.publication;

import java.time.Duration;

/**
 * The bounds of what callers may send. Immutable and thread safe.
 *
 * @param headerBytes the most bytes of a request's head
 * @param bodyBytes the most bytes of a request's body
 * @param headerTime the longest time for sending a head
 * @param idleTime the longest time that a connection may stay without a request
 */
public record RequestLimits(int headerBytes, int bodyBytes, Duration headerTime, Duration idleTime) {

    /** The bounds before any publication; generous, since the published ones are not known yet. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(64 << 10, 16 << 20, Duration.ofSeconds(10), Duration.ofSeconds(60));
}
