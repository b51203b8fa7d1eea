package org.borageproxy.publication;

import java.util.Optional;

import org.borageproxy.warmup.WarmUpRules;

/**
 * A service provided by backend servers. Immutable and thread safe.
 *
 * @param name the service's name, unique within the publication
 * @param maxConnections the maximum number of connections that one backend server accepts, from all clients together
 * @param enginePool the settings of its model engines; empty for a plain service
 * @param identityPath the path of a request that its servers answer with their names; empty if there is none
 * @param warmUp how its servers warm up
 */
public record PublishedService(
        String name,
        int maxConnections,
        Optional<EnginePool> enginePool,
        Optional<String> identityPath,
        WarmUpRules warmUp) {

    /**
     * Creates a service whose servers cannot be asked for their names and need no time to warm up.
     *
     * @param name the service's name
     * @param maxConnections the maximum number of connections that one backend server accepts
     * @param enginePool the settings of its model engines; empty for a plain service
     */
    public PublishedService(String name, int maxConnections, Optional<EnginePool> enginePool) {
        this(name, maxConnections, enginePool, Optional.empty(), WarmUpRules.NONE);
    }
}
