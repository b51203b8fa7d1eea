package org.borageproxy.forward;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Answers requests that are not forwarded, or whose answer was lost. Stateless and thread safe. */
final class Refusals {

    private static final double MILLIS_PER_SECOND = 1e3;

    private Refusals() {}

    /**
     * Answers a request.
     *
     * @param request the request
     * @param reason why
     * @param comeBack the time after which it may succeed
     */
    static void respond(HttpServerRequest request, RefusalReason reason, Optional<Duration> comeBack) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        comeBack.ifPresent(time -> response.putHeader(
                HttpHeaders.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", Math.max(1, time.toMillis()) / MILLIS_PER_SECOND)));
        response.setStatusCode(reason.status()).end(reason.code() + "\n");
    }
}
