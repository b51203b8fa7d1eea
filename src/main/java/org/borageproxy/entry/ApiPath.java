package org.borageproxy.entry;

import java.util.Arrays;
import java.util.Optional;

import io.vertx.core.http.HttpMethod;

/** The paths of the HTTP API that require a key. Immutable and thread safe. */
enum ApiPath {
    /** Chat completions. */
    CHAT("/v1/chat/completions", HttpMethod.POST),
    /** Text completions. */
    TEXT("/v1/completions", HttpMethod.POST),
    /** The models that the workspace may use. */
    MODELS("/v1/models", HttpMethod.GET);

    private final String path;
    private final HttpMethod method;

    ApiPath(String path, HttpMethod method) {
        this.path = path;
        this.method = method;
    }

    static Optional<ApiPath> find(String path) {
        return Arrays.stream(values())
                .filter(candidate -> candidate.path.equals(path))
                .findFirst();
    }

    /**
     * Returns whether requests with a method are refused instead of being forwarded to plain services.
     *
     * @param method the method
     * @return {@code true} if they are refused
     */
    static boolean isNeverForwarded(HttpMethod method) {
        return method.equals(HttpMethod.TRACE) || method.equals(HttpMethod.CONNECT);
    }

    HttpMethod method() {
        return method;
    }
}
