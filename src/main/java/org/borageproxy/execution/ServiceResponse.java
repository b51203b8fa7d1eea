package org.borageproxy.execution;

import java.util.List;
import java.util.Map;

import io.vertx.core.buffer.Buffer;

/**
 * The complete response of a plain service. Immutable by convention: the body is not changed.
 *
 * @param status the HTTP status
 * @param headers the forwarded headers
 * @param body the body
 */
public record ServiceResponse(int status, List<Map.Entry<String, String>> headers, Buffer body) {

    /** Copies the headers. */
    public ServiceResponse {
        headers = List.copyOf(headers);
    }

    /**
     * Returns the media type of the body.
     *
     * @return the media type, "application/octet-stream" if none is stated
     */
    public String contentType() {
        return headers.stream()
                .filter(header -> header.getKey().equalsIgnoreCase("content-type"))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse("application/octet-stream");
    }
}
