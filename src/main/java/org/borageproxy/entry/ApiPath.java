package org.borageproxy.entry;

import java.util.Arrays;
import java.util.Optional;

import io.vertx.core.http.HttpMethod;

/** The paths that the product serves itself to callers with a key. Immutable and thread safe. */
enum ApiPath {
    /** Chat completions. */
    CHAT("/v1/chat/completions", HttpMethod.POST),
    /** Text completions. */
    TEXT("/v1/completions", HttpMethod.POST),
    /** The models that the workspace may use. */
    MODELS("/v1/models", HttpMethod.GET);

    /** The path. */
    private final String path;
    /** The only method that it accepts. */
    private final HttpMethod method;

    /**
     * Creates a path.
     *
     * @param path the path
     * @param method the only method that it accepts
     */
    ApiPath(String path, HttpMethod method) {
        this.path = path;
        this.method = method;
    }

    /**
     * Finds a path.
     *
     * @param path the path
     * @return the path, empty if the product does not serve it itself
     */
    static Optional<ApiPath> find(String path) {
        return Arrays.stream(values())
                .filter(candidate -> candidate.path.equals(path))
                .findFirst();
    }

    /**
     * Tells whether a method is passed on to no plain service.
     *
     * @param method the method
     * @return {@code true} if it is refused
     */
    static boolean isNeverForwarded(HttpMethod method) {
        return method.equals(HttpMethod.TRACE) || method.equals(HttpMethod.CONNECT);
    }

    /**
     * Returns the only method that the path accepts.
     *
     * @return the method
     */
    HttpMethod method() {
        return method;
    }
}
