package org.borageproxy.forward;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Answers to requests that were not forwarded, or whose answer was lost. Stateless and thread safe. */
final class Refusals {

    /** Retry-after time while this VM stops; short, since another VM can accept the request at once. */
    static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(20);

    private static final double MILLIS_PER_SECOND = 1e3;

    private Refusals() {}

    /**
     * Answers a request, unless it was answered before or the caller left.
     *
     * @param request the request
     * @param reason the reason, which determines status and body
     * @param retryAfter the time after which a retry may succeed; empty if a retry is not advised
     */
    static void respond(HttpServerRequest request, RefusalReason reason, Optional<Duration> retryAfter) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        retryAfter.ifPresent(time -> response.putHeader(
                HttpHeaders.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", Math.max(1, time.toMillis()) / MILLIS_PER_SECOND)));
        if (reason == RefusalReason.STOPPING) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
        response.setStatusCode(reason.status()).end(reason.code() + "\n");
    }
}
