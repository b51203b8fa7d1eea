package org.borageproxy.tree;

/**
 * A route to a plain service. Immutable and thread safe.
 *
 * @param name the route's name
 * @param pathPrefix the prefix of the paths it matches; the longest prefix holds
 * @param service the name of the plain service
 * @param open whether requests need no key
 * @param repeatable whether a request may be run more than once; requests with a safe HTTP method always may
 * @param timeoutMillis the time allowed to a request, in milliseconds
 * @param tokenCost the tokens that a request costs its workspace
 */
public record Route(
        String name,
        String pathPrefix,
        String service,
        boolean open,
        boolean repeatable,
        long timeoutMillis,
        long tokenCost) {}
