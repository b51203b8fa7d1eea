package org.borageproxy.entry;

import java.time.Duration;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;

/**
 * Closes a connection on which no complete request head arrives in time, even if single bytes keep arriving. Confined
 * to the connection's event loop.
 */
final class ConnectionTimeouts {

    private final Vertx vertx;
    private final HttpConnection connection;
    private final EntrySettings.Limits limits;
    private long timer;

    ConnectionTimeouts(Vertx vertx, HttpConnection connection, EntrySettings.Limits limits) {
        this.vertx = vertx;
        this.connection = connection;
        this.limits = limits;
        startTimer(limits.headerTimeout());
    }

    /**
     * Stops the timer until the request has been answered.
     *
     * @param request the request
     */
    void onRequest(HttpServerRequest request) {
        vertx.cancelTimer(timer);
        request.response().endHandler(nothing -> startTimer(limits.idleTimeout()));
    }

    void onClosed() {
        vertx.cancelTimer(timer);
    }

    private void startTimer(Duration timeout) {
        vertx.cancelTimer(timer);
        timer = vertx.setTimer(timeout.toMillis(), expired -> connection.close());
    }
}
