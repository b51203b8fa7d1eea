package org.borageproxy.execution;

import java.util.List;
import java.util.Map;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * What a plain service is asked for; holds nothing of the caller's key. Immutable by convention: the body is not
 * changed.
 *
 * @param identity the request's identity
 * @param service the name of the plain service
 * @param method the HTTP method
 * @param uri the path and query
 * @param headers the headers to pass on
 * @param body the body
 * @param tokens what the request costs
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
