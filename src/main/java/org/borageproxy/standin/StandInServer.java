package org.borageproxy.standin;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP server of a stand-in with its fault injection, counters, crash and restart. Confined to one event loop,
 * except {@link #start}, {@link #close} and {@link #runOnEventLoop}, which may be called by any thread.
 */
final class StandInServer {

    private static final Logger LOGGER = LoggerFactory.getLogger(StandInServer.class);
    /** The exit code of a process that ended by a segmentation fault. */
    private static final int CRASH_EXIT_CODE = 139;

    private final Vertx vertx;
    private final Context context;
    private final String name;
    private final String host;
    private final Behavior behavior;
    private final RequestCounters counters = new RequestCounters();
    private Faults faults = Faults.NONE;
    private HttpServer server;
    /** The configured port, which may be zero, and after the first start the actual port, so that restarts reuse it. */
    private int port;

    private boolean isClosed;

    /**
     * Creates a server that does not listen.
     *
     * @param port the TCP port to listen on, zero for any free port
     * @param behavior handles the requests and the life cycle
     */
    StandInServer(Vertx vertx, String name, String host, int port, Behavior behavior) {
        this.vertx = vertx;
        this.name = name;
        this.host = host;
        this.port = port;
        this.behavior = behavior;
        context = vertx.getOrCreateContext();
    }

    /** The behaviour of a particular stand-in. All methods are called on the server's event loop. */
    interface Behavior {

        /**
         * Called when an incarnation listens.
         *
         * @param port the actual port
         */
        void onStart(int port);

        /** Called when an incarnation ends, possibly before the first start or after an earlier end. */
        void onStop();

        /**
         * Handles a request other than {@code /faults} and {@code /counters}.
         *
         * @param request the request
         */
        void handle(HttpServerRequest request);

        /**
         * Adds the counters of this stand-in.
         *
         * @param json the body of {@code GET /counters}, to be extended
         */
        void addCounters(JsonObject json);
    }

    /**
     * Starts the first incarnation.
     *
     * @return succeeds with the actual port
     */
    Future<Integer> start() {
        Promise<Integer> promise = Promise.promise();
        context.runOnContext(ignored -> listen().onComplete(promise));
        return promise.future();
    }

    private Future<Integer> listen() {
        server = vertx.createHttpServer(new HttpServerOptions().setReuseAddress(true))
                .requestHandler(this::handle);
        return server.listen(port, host).map(listening -> {
            port = listening.actualPort();
            behavior.onStart(port);
            return port;
        });
    }

    /**
     * Ends the current incarnation and prevents restarts.
     *
     * @return completes when the port is closed
     */
    Future<Void> close() {
        Promise<Void> promise = Promise.promise();
        context.runOnContext(ignored -> {
            isClosed = true;
            behavior.onStop();
            Future<Void> done = server == null ? Future.succeededFuture() : server.close();
            done.onComplete(promise);
        });
        return promise.future();
    }

    /**
     * Ends the current incarnation without answering its requests, or the whole process if so configured. The next
     * incarnation starts after the configured delay, if any.
     */
    void crash() {
        LOGGER.info("event=stand-in-crashed name={} exits={}", name, faults.crashExits());
        if (faults.crashExits()) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        behavior.onStop();
        long restartMillis = faults.restartAfterMillis();
        server.close();
        if (restartMillis > 0) {
            vertx.setTimer(restartMillis, ignored -> restart());
        }
    }

    /** Retries while listening fails, since the previous incarnation may not have released the port yet. */
    private void restart() {
        if (!isClosed) {
            listen().onFailure(failure -> vertx.setTimer(faults.restartAfterMillis(), ignored -> restart()));
        }
    }

    Faults faults() {
        return faults;
    }

    void setFaults(Faults changed) {
        faults = changed;
    }

    /** Runs an action on the server's event loop. */
    void runOnEventLoop(Runnable action) {
        context.runOnContext(ignored -> action.run());
    }

    RequestCounters counters() {
        return counters;
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/faults" ->
                request.body().onSuccess(body -> {
                    faults = Faults.ofJson(body.toJsonObject());
                    respond(request, 200, new JsonObject());
                });
            case "/counters" -> {
                JsonObject json = counters.toJson();
                behavior.addCounters(json);
                respond(request, 200, json);
            }
            default -> dispatch(request);
        }
    }

    private void dispatch(HttpServerRequest request) {
        counters.recordReceived(request);
        behavior.handle(request);
    }

    /** Runs an action after the configured response delay, or never if the stand-in is configured to hang. */
    void runAfterResponseDelay(Handler<Void> action) {
        if (faults.hang()) {
            return;
        }
        if (faults.lateMillis() > 0) {
            vertx.setTimer(faults.lateMillis(), ignored -> action.handle(null));
            return;
        }
        action.handle(null);
    }

    /** Responds with JSON. */
    static void respond(HttpServerRequest request, int status, JsonObject json) {
        request.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(json.toBuffer());
    }

    /** Responds with an error and the header that marks the request as not executed. */
    static void refuse(HttpServerRequest request, int status) {
        request.response()
                .setStatusCode(status)
                .putHeader("borageproxy-not-run", "true")
                .end();
    }
}
