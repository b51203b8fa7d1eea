package org.borageproxy.forward;

import java.util.Optional;
import java.util.Set;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;

/**
 * What a request requires of the server that runs it. Immutable and thread safe, except that the set of tried servers
 * is that of the request and grows with its attempts.
 *
 * @param service the service
 * @param engines the engine pool of the service; empty for a plain service
 * @param work the inference work; empty for a plain service
 * @param triedServers the servers that must not be selected again
 * @param origin what began the stream that the request continues; empty for a request that any server can run
 * @param bodyBytes the size of the request's body, which the server holds while it runs the request
 */
record ServerRequirement(
        String service,
        Optional<EnginePool> engines,
        Optional<EngineWork> work,
        Set<BackendServerName> triedServers,
        Optional<StreamOrigin> origin,
        long bodyBytes) {

    /**
     * Creates a requirement of a request without a body.
     *
     * @param service the service
     * @param engines the engine pool of the service; empty for a plain service
     * @param work the inference work; empty for a plain service
     * @param triedServers the servers that must not be selected again
     * @param origin what began the stream that the request continues; empty for a request that any server can run
     */
    ServerRequirement(
            String service,
            Optional<EnginePool> engines,
            Optional<EngineWork> work,
            Set<BackendServerName> triedServers,
            Optional<StreamOrigin> origin) {
        this(service, engines, work, triedServers, origin, 0);
    }

    /**
     * Returns whether a server runs the software that the request requires. Its state and its models are not checked.
     *
     * @param server the server
     * @return {@code false} if the request continues a stream that the server cannot continue
     */
    boolean isMetBy(BackendServer server) {
        return server.services().contains(service)
                && origin.map(known -> known.matches(server)).orElse(true);
    }
}
