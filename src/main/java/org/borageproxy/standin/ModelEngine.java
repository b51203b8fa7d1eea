package org.borageproxy.standin;

import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.LoadReport;

/**
 * A stand-in model engine that speaks the protocol of {@code docs/PROTOCOLS.md}. Its state is confined to one event
 * loop; the public methods are safe for use by any thread.
 */
public final class ModelEngine implements StandInServer.Behavior {

    /** The path under which runs are started and cancelled. */
    private static final String RUN_PATH = "/v1/run";

    /** The event loops and timers. */
    private final Vertx vertx;
    /** How the engine is set up. */
    private final EngineOptions options;
    /** The listening port. */
    private final StandInServer server;
    /** Fetches weights. */
    private final HttpClient weightClient;
    /** Sends announcements; {@code null} while the engine is down. */
    private Announcer announcer;
    /** The models of this incarnation. */
    private EngineModels models;
    /** The requests of this incarnation. */
    private RunLoop runs;
    /** The incarnation that runs now. */
    private long incarnation;
    /** The sequence number of the last announcement. */
    private long sequence;
    /** The load at the last announcement, which the next one reports. */
    private LoadReport laggingLoad;
    /** The port of this engine. */
    private int port;
    /** Orders of earlier incarnations that would have exceeded the memory. */
    private long earlierOvercommits;
    /** Model loads of earlier incarnations. */
    private long earlierLoads;

    /**
     * Creates an engine that does not run.
     *
     * @param vertx the event loops and timers
     * @param options how the engine is set up
     */
    public ModelEngine(Vertx vertx, EngineOptions options) {
        this.vertx = vertx;
        this.options = options;
        server = new StandInServer(vertx, options.name(), options.host(), options.port(), this);
        weightClient = vertx.createHttpClient();
        incarnation = options.incarnation() - 1;
    }

    /**
     * Starts the engine.
     *
     * @return succeeds with the port
     */
    public Future<Integer> start() {
        return server.start();
    }

    /**
     * Stops the engine without a leave message, as if its process had died.
     *
     * @return completes when the port is closed
     */
    public Future<Void> close() {
        return server.close();
    }

    /**
     * Changes the faults that the engine shows.
     *
     * @param faults the faults
     */
    public void show(Faults faults) {
        server.run(() -> server.setFaults(faults));
    }

    /** Ends the engine as a crash does. */
    public void crash() {
        server.run(server::crash);
    }

    /** Tells the VMs that the engine leaves; it ends what it runs. */
    public void leave() {
        server.run(() -> {
            sequence++;
            announcer.post(
                    "/v1/leave",
                    new JsonObject()
                            .put("name", options.name())
                            .put("incarnation", incarnation)
                            .put("sequence", sequence));
            announcer.stop();
        });
    }

    @Override
    public void started(int listeningPort) {
        port = listeningPort;
        incarnation++;
        sequence = 0;
        models = new EngineModels(
                vertx, options, this::fetchWeights, resident -> runs.uses(resident), this::announceChange);
        runs = new RunLoop(vertx, options.timing(), server);
        laggingLoad = runs.load();
        announcer = new Announcer(vertx, options.announcing(), this::announcement);
        announcer.start();
    }

    @Override
    public void ended() {
        if (models == null) {
            return;
        }
        models.end();
        earlierOvercommits += models.overcommits();
        earlierLoads += models.loads();
        runs.end();
        announcer.close();
        models = null;
    }

    @Override
    public void handle(HttpServerRequest request) {
        String path = request.path();
        if (request.method() == HttpMethod.POST && path.equals(RUN_PATH)) {
            request.body().onSuccess(body -> run(request, body.toString()));
        } else if (request.method() == HttpMethod.DELETE && path.startsWith(RUN_PATH + "/")) {
            boolean found = runs.cancel(path.substring(RUN_PATH.length() + 1));
            request.response().setStatusCode(found ? 200 : 404).end();
        } else if (request.method() == HttpMethod.POST && path.equals("/v1/orders")) {
            request.body().onSuccess(body -> server.whenAnswerIsDue(due -> order(request, body.toJsonObject())));
        } else if (request.method() == HttpMethod.GET && path.equals("/v1/state")) {
            server.whenAnswerIsDue(due -> StandInServer.answer(request, 200, state()));
        } else {
            request.response().setStatusCode(404).end();
        }
    }

    @Override
    public void count(JsonObject json) {
        json.put("overcommits", earlierOvercommits + models.overcommits())
                .put("model_loads", earlierLoads + models.loads())
                .put("incarnation", incarnation);
    }

    /**
     * Runs a request.
     *
     * @param request the request
     * @param body the request's body
     */
    private void run(HttpServerRequest request, String body) {
        if (models == null) {
            return;
        }
        JsonObject json = new JsonObject(body);
        Optional<Resident> resident = models.usable(
                json.getString("model", ""), json.getString("version", ""), json.getString("adapter", ""));
        if (resident.isEmpty()) {
            StandInServer.refuse(request, 404);
            return;
        }
        if (runs.isFull()) {
            StandInServer.refuse(request, 429);
            return;
        }
        server.counters().ran(json.getString("request_id"));
        if (server.faults().crashesOn(body)) {
            server.crash();
            return;
        }
        runs.begin(json, resident.get(), request.response());
    }

    /**
     * Takes an order, unless a fault loses it or its answer.
     *
     * @param request the request
     * @param json the order
     */
    private void order(HttpServerRequest request, JsonObject json) {
        if (models == null) {
            return;
        }
        Order order = Order.ofJson(json);
        Faults faults = server.faults();
        if (faults.lostOrders() > 0) {
            server.setFaults(faults.withOneLostOrderLess());
            models.lose(order);
            request.response().setStatusCode(202).end();
            return;
        }
        EngineModels.Reply reply = models.take(order, faults.lateOrderMillis());
        if (faults.lostOrderAnswers() > 0) {
            server.setFaults(faults.withOneLostAnswerLess());
            request.connection().close();
            return;
        }
        answerOrder(request, reply);
    }

    /**
     * Answers an order.
     *
     * @param request the request
     * @param reply the answer
     */
    private void answerOrder(HttpServerRequest request, EngineModels.Reply reply) {
        switch (reply) {
            case ACCEPTED -> request.response().setStatusCode(202).end();
            case FENCED ->
                StandInServer.answer(request, 409, new JsonObject().put("highest_fencing", models.highestFencing()));
            case NO_MEMORY -> request.response().setStatusCode(507).end();
            case NOT_FOUND -> request.response().setStatusCode(404).end();
            default -> throw new IllegalStateException("Unknown reply " + reply);
        }
    }

    /**
     * Returns the truth about memory and orders.
     *
     * @return the body of {@code GET /v1/state}
     */
    private JsonObject state() {
        return models.json().put("name", options.name()).put("incarnation", incarnation);
    }

    /**
     * Fetches the weights of an order from the weight store, if there is one.
     *
     * @param order the order
     * @return completes when the weights are there
     */
    private Future<Void> fetchWeights(Order order) {
        if (options.weightStore().isEmpty()) {
            return Future.succeededFuture();
        }
        int colon = options.weightStore().lastIndexOf(':');
        String adapterPath = order.adapter().isEmpty() ? "" : "/" + order.adapter();
        return weightClient
                .request(
                        HttpMethod.GET,
                        Integer.parseInt(options.weightStore().substring(colon + 1)),
                        options.weightStore().substring(0, colon),
                        "/v1/weights/" + order.model() + "/" + order.version() + adapterPath)
                .compose(request -> request.send().compose(response -> response.body()))
                .mapEmpty();
    }

    /** Announces a change of the models at once, and the cache events with it. */
    private void announceChange() {
        announcer.announceNow();
    }

    /**
     * Builds the next announcement, whose load is that of the previous one.
     *
     * @return the body of {@code POST /v1/announce}, or {@code null} while silent
     */
    private JsonObject announcement() {
        if (server.faults().silent() || models == null) {
            return null;
        }
        publishCacheEvents();
        sequence++;
        LoadReport reported = laggingLoad;
        laggingLoad = runs.load();
        return AnnouncementJson.ofEngine(options, incarnation, sequence, port, models.loaded(), reported);
    }

    /** Posts the cache events since the last announcement. */
    private void publishCacheEvents() {
        JsonArray events = runs.takeCacheEvents();
        if (!events.isEmpty()) {
            announcer.post(
                    "/v1/cache-events",
                    new JsonObject()
                            .put("name", options.name())
                            .put("incarnation", incarnation)
                            .put("events", events));
        }
    }
}
