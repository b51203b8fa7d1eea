package org.borageproxy.tree;

/**
 * A route to an HTTP service that is no model engine, with its effective settings. Immutable and thread safe.
 *
 * @param name the name, unique among routes
 * @param pathPrefix the prefix of the request paths that the route matches; the longest matching prefix wins
 * @param service the name of the service that requests are forwarded to
 * @param isPublic whether requests are accepted without an API key
 * @param repeatable whether a request may be executed more than once; requests with a safe HTTP method always may
 * @param timeoutMillis the time limit of a request, in milliseconds
 * @param tokenCost the tokens that a request consumes of its workspace's quota
 */
public record Route(
        String name,
        String pathPrefix,
        String service,
        boolean isPublic,
        boolean repeatable,
        long timeoutMillis,
        long tokenCost) {}
