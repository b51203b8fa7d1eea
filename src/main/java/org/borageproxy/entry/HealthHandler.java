package org.borageproxy.entry;

import java.util.Set;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Serves liveness, readiness and metrics. Immutable and safe for use by any event loop. */
final class HealthHandler {

    private static final String HEALTH_PATH = "/healthz";
    private static final String READINESS_PATH = "/readyz";
    private static final String METRICS_PATH = "/metrics";
    private static final Set<String> PATHS = Set.of(HEALTH_PATH, READINESS_PATH, METRICS_PATH);
    private static final int NOT_READY_STATUS = 503;
    private static final int METHOD_NOT_ALLOWED_STATUS = 405;

    private final EntryComponents components;
    private final DrainState state;

    HealthHandler(EntryComponents components, DrainState state) {
        this.components = components;
        this.state = state;
    }

    boolean isHealthPath(HttpServerRequest request) {
        return request.path() != null && PATHS.contains(request.path());
    }

    void handle(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        response.putHeader("content-type", "text/plain; charset=utf-8");
        if (!request.method().name().equals("GET")) {
            response.setStatusCode(METHOD_NOT_ALLOWED_STATUS).end();
            return;
        }
        switch (request.path()) {
            case HEALTH_PATH -> response.end("ok\n");
            case METRICS_PATH ->
                response.end(components.dependencies().metricsText().get());
            default -> {
                response.setStatusCode(isReady() ? response.getStatusCode() : NOT_READY_STATUS);
                response.end(isReady() ? "ready\n" : "not ready\n");
            }
        }
    }

    /**
     * Returns whether load balancers may route callers to this VM.
     *
     * @return {@code true} if the configuration is fresh and no shutdown has started
     */
    private boolean isReady() {
        long now = components.dependencies().clock().nanoTime();
        return state.phase() == DrainState.Phase.SERVING
                && components.dependencies().configuration().isFresh(now);
    }
}
