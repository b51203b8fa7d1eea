package org.borageproxy.entry;

import java.time.Duration;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;

/**
 * Closes a connection on which no whole request head arrives in time, however slowly its bytes trickle in. Confined to
 * the connection's event loop.
 */
final class ConnectionTimeouts {

    /** Runs the timer. */
    private final Vertx vertx;
    /** The connection. */
    private final HttpConnection connection;
    /** The bounds. */
    private final EntrySettings.Limits limits;
    /** The timer that closes the connection. */
    private long timer;

    /**
     * Guards a new connection.
     *
     * @param vertx runs the timer
     * @param connection the connection
     * @param limits the bounds
     */
    ConnectionTimeouts(Vertx vertx, HttpConnection connection, EntrySettings.Limits limits) {
        this.vertx = vertx;
        this.connection = connection;
        this.limits = limits;
        arm(limits.headerTimeout());
    }

    /**
     * Stops the timer while a request is served, and starts it again afterwards.
     *
     * @param request the request
     */
    void onRequest(HttpServerRequest request) {
        vertx.cancelTimer(timer);
        request.response().endHandler(nothing -> arm(limits.idleTimeout()));
    }

    /** Stops the timer of a closed connection. */
    void onClosed() {
        vertx.cancelTimer(timer);
    }

    /**
     * Starts the timer.
     *
     * @param time the time until the connection is closed
     */
    private void arm(Duration time) {
        vertx.cancelTimer(timer);
        timer = vertx.setTimer(time.toMillis(), expired -> connection.close());
    }
}
