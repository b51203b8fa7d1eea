package org.borageproxy.routing.speed;

import org.borageproxy.membership.BackendServer;

/** Speeds of the backend servers. Confined to one event loop. */
@FunctionalInterface
public interface ServerSpeeds {

    /** All servers are equally fast. */
    ServerSpeeds EQUAL = (server, nowNanos) -> 1.0;

    /**
     * Returns the speed of a server.
     *
     * @param server the server
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the speed; 1 is the median of the server's peers, 2 means half of their times
     */
    double speedOf(BackendServer server, long nowNanos);
}
