package org.borageproxy.entry;

import java.util.Set;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Answers requests about this VM: liveness, readiness and metrics. Immutable and safe for use by any event loop. */
final class HealthHandler {

    /** Tells that the process runs. */
    private static final String HEALTH = "/healthz";
    /** Tells that this VM may be given callers. */
    private static final String READINESS = "/readyz";
    /** Renders the metrics. */
    private static final String METRICS = "/metrics";
    /** The paths that this handler answers. */
    private static final Set<String> PATHS = Set.of(HEALTH, READINESS, METRICS);
    /** The status of a VM that may not be given callers. */
    private static final int NOT_READY = 503;
    /** The status of a method other than GET. */
    private static final int METHOD_NOT_ALLOWED = 405;

    /** What handlers share. */
    private final EntryComponents parts;
    /** Where the interface stands. */
    private final DrainState state;

    /**
     * Creates a handler.
     *
     * @param parts what handlers share
     * @param state where the interface stands
     */
    HealthHandler(EntryComponents parts, DrainState state) {
        this.parts = parts;
        this.state = state;
    }

    /**
     * Tells whether this handler answers a request.
     *
     * @param request the request
     * @return {@code true} if it does
     */
    boolean isHealthPath(HttpServerRequest request) {
        return request.path() != null && PATHS.contains(request.path());
    }

    /**
     * Answers a request.
     *
     * @param request the request
     */
    void handle(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        response.putHeader("content-type", "text/plain; charset=utf-8");
        if (!request.method().name().equals("GET")) {
            response.setStatusCode(METHOD_NOT_ALLOWED).end();
            return;
        }
        switch (request.path()) {
            case HEALTH -> response.end("ok\n");
            case METRICS -> response.end(parts.dependencies().metricsText().get());
            default -> {
                response.setStatusCode(isReady() ? response.getStatusCode() : NOT_READY);
                response.end(isReady() ? "ready\n" : "not ready\n");
            }
        }
    }

    /**
     * Tells whether this VM may be given callers.
     *
     * @return {@code true} if the configuration is fresh and this VM is not shutting down
     */
    private boolean isReady() {
        long now = parts.dependencies().clock().nanoTime();
        return state.phase() == DrainState.Phase.SERVING
                && parts.dependencies().configuration().isFresh(now);
    }
}
