package org.borageproxy.execution;

import java.util.List;
import java.util.Map;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * A request to a plain service, without the caller's key. Immutable by convention: the body is not changed.
 *
 * @param identity the request ID
 * @param service the name of the plain service
 * @param method the HTTP method
 * @param uri the path and query
 * @param headers the forwarded headers
 * @param body the body
 * @param tokens the cost of the request, in tokens
 * @param repeatable whether the request may run more than once
 */
public record ServiceRequest(
        String identity,
        String service,
        HttpMethod method,
        String uri,
        List<Map.Entry<String, String>> headers,
        Buffer body,
        long tokens,
        boolean repeatable) {

    /** Copies the headers. */
    public ServiceRequest {
        headers = List.copyOf(headers);
    }
}
