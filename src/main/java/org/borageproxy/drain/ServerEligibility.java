package org.borageproxy.drain;

import java.util.Set;

import org.borageproxy.membership.BackendServer;

/**
 * Decides which backend servers may receive requests now. Asked when a server is selected and again right before a
 * request is sent. Implementations are thread safe.
 */
@FunctionalInterface
public interface ServerEligibility {

    /** Admits all servers, whatever regions a request allows. */
    ServerEligibility ANY = (server, allowedRegions) -> true;

    /**
     * Returns whether a server may receive a request now.
     *
     * @param server the server
     * @param allowedRegions the regions in which the request may run; empty for any
     * @return {@code false} if the zone of the server is drained or in another region
     */
    boolean mayReceive(BackendServer server, Set<String> allowedRegions);
}
