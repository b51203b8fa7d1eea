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
 * The listening port of a stand-in with its fault switches and counters, and the crash and restart of the stand-in.
 * Confined to one event loop.
 */
final class StandInServer {

    /** Writes the log. */
    private static final Logger LOGGER = LoggerFactory.getLogger(StandInServer.class);
    /** The exit code of a process that a request ended. */
    private static final int CRASH_EXIT_CODE = 139;

    /** The event loops and timers. */
    private final Vertx vertx;
    /** The event loop that everything runs on. */
    private final Context context;
    /** The stand-in's name. */
    private final String name;
    /** The IP address to listen on. */
    private final String host;
    /** What the stand-in does. */
    private final Behavior behavior;
    /** What the requests carried. */
    private final RequestCounters counters = new RequestCounters();
    /** The faults shown now. */
    private Faults faults = Faults.NONE;
    /** The HTTP server. */
    private HttpServer server;
    /** The port, zero before the first start. */
    private int port;
    /** Whether the stand-in was closed for good. */
    private boolean closed;

    /**
     * Creates a server that does not listen.
     *
     * @param vertx the event loops and timers
     * @param name the stand-in's name
     * @param host the IP address to listen on
     * @param port the TCP port to listen on, zero for any free port
     * @param behavior what the stand-in does
     */
    StandInServer(Vertx vertx, String name, String host, int port, Behavior behavior) {
        this.vertx = vertx;
        this.name = name;
        this.host = host;
        this.port = port;
        this.behavior = behavior;
        context = vertx.getOrCreateContext();
    }

    /** What a stand-in does. All methods are called on the server's event loop. */
    interface Behavior {

        /**
         * Called when an incarnation listens.
         *
         * @param port the port
         */
        void started(int port);

        /** Called when an incarnation ends. */
        void ended();

        /**
         * Answers a request other than the control requests.
         *
         * @param request the request
         */
        void handle(HttpServerRequest request);

        /**
         * Adds counters of the stand-in.
         *
         * @param json the body of {@code GET /counters}
         */
        void count(JsonObject json);
    }

    /**
     * Starts to listen.
     *
     * @return succeeds with the port
     */
    Future<Integer> start() {
        Promise<Integer> promise = Promise.promise();
        context.runOnContext(ignored -> listen().onComplete(promise));
        return promise.future();
    }

    /**
     * Starts an incarnation.
     *
     * @return succeeds with the port
     */
    private Future<Integer> listen() {
        server = vertx.createHttpServer(new HttpServerOptions().setReuseAddress(true))
                .requestHandler(this::handle);
        return server.listen(port, host).map(listening -> {
            port = listening.actualPort();
            behavior.started(port);
            return port;
        });
    }

    /**
     * Ends the stand-in for good.
     *
     * @return completes when the port is closed
     */
    Future<Void> close() {
        Promise<Void> promise = Promise.promise();
        context.runOnContext(ignored -> {
            closed = true;
            behavior.ended();
            Future<Void> done = server == null ? Future.succeededFuture() : server.close();
            done.onComplete(promise);
        });
        return promise.future();
    }

    /** Ends this incarnation as a crash: every connection closes without an answer. */
    void crash() {
        LOGGER.info("event=stand-in-crashed name={} exits={}", name, faults.crashExits());
        if (faults.crashExits()) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        behavior.ended();
        long restartMillis = faults.restartAfterMillis();
        server.close();
        if (restartMillis > 0) {
            vertx.setTimer(restartMillis, ignored -> restart());
        }
    }

    /** Starts the next incarnation, and tries again while the port is in use. */
    private void restart() {
        if (!closed) {
            listen().onFailure(failure -> vertx.setTimer(faults.restartAfterMillis(), ignored -> restart()));
        }
    }

    /**
     * Returns the faults shown now.
     *
     * @return the faults
     */
    Faults faults() {
        return faults;
    }

    /**
     * Changes the faults.
     *
     * @param changed the faults
     */
    void setFaults(Faults changed) {
        faults = changed;
    }

    /**
     * Runs something on the server's event loop.
     *
     * @param action what to run
     */
    void run(Runnable action) {
        context.runOnContext(ignored -> action.run());
    }

    /**
     * Returns what the requests carried.
     *
     * @return the counters
     */
    RequestCounters counters() {
        return counters;
    }

    /**
     * Answers a control request or passes the request on.
     *
     * @param request the request
     */
    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/faults" ->
                request.body().onSuccess(body -> {
                    faults = Faults.ofJson(body.toJsonObject());
                    answer(request, 200, new JsonObject());
                });
            case "/counters" -> {
                JsonObject json = counters.json();
                behavior.count(json);
                answer(request, 200, json);
            }
            default -> dispatch(request);
        }
    }

    /**
     * Passes a request on, unless a fault keeps its answer back.
     *
     * @param request the request
     */
    private void dispatch(HttpServerRequest request) {
        counters.received(request);
        behavior.handle(request);
    }

    /**
     * Runs an action after the delay of a late answer, or never if the stand-in hangs.
     *
     * @param action what to run
     */
    void whenAnswerIsDue(Handler<Void> action) {
        if (faults.hang()) {
            return;
        }
        if (faults.lateMillis() > 0) {
            vertx.setTimer(faults.lateMillis(), ignored -> action.handle(null));
            return;
        }
        action.handle(null);
    }

    /**
     * Answers with JSON.
     *
     * @param request the request
     * @param status the HTTP status
     * @param json the body
     */
    static void answer(HttpServerRequest request, int status, JsonObject json) {
        request.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(json.toBuffer());
    }

    /**
     * Refuses a request that was not run.
     *
     * @param request the request
     * @param status the HTTP status
     */
    static void refuse(HttpServerRequest request, int status) {
        request.response()
                .setStatusCode(status)
                .putHeader("borageproxy-not-run", "true")
                .end();
    }
}
