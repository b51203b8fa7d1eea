package org.borageproxy.publication;

import java.util.Optional;

/**
 * A service provided by backend servers. Immutable and thread safe.
 *
 * @param name the service's name, unique within the publication
 * @param maxConnections the maximum number of connections that one backend server accepts, from all clients together
 * @param enginePool the settings of its model engines; empty for a plain service
 */
public record PublishedService(String name, int maxConnections, Optional<EnginePool> enginePool) {}
