package org.borageproxy.publication;

import java.util.Optional;

/**
 * A service that backend servers provide. Immutable and thread safe.
 *
 * @param name the name
 * @param maxConnections the connections that one backend server accepts from all callers together
 * @param enginePool the model engines behind the service; empty for a plain service
 */
public record PublishedService(String name, int maxConnections, Optional<EnginePool> enginePool) {}
