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
 * A simulated model engine that implements the engine protocol of {@code docs/PROTOCOLS.md}. Its state is confined to
 * one event loop; {@link #start}, {@link #close}, {@link #setFaults}, {@link #crash} and {@link #leave} may be called
 * by any thread.
 */
public final class ModelEngine implements StandInServer.Behavior {

    private static final String RUN_PATH = "/v1/run";

    private final Vertx vertx;
    private final EngineOptions options;
    private final StandInServer server;
    private final HttpClient weightClient;
    private Announcer announcer;
    /** {@code null} while no incarnation runs. */
    private EngineModels models;

    private GenerationLoop runs;
    private long incarnation;
    private long sequence;
    /** The load at the previous announcement, which the next one reports. */
    private LoadReport previousLoad;

    private int port;
    private long earlierOvercommits;
    private long earlierLoads;

    /**
     * Creates an engine that is not started.
     *
     * @param vertx the event loops and timers
     * @param options the engine's settings
     */
    public ModelEngine(Vertx vertx, EngineOptions options) {
        this.vertx = vertx;
        this.options = options;
        server = new StandInServer(vertx, options.name(), options.host(), options.port(), this);
        weightClient = vertx.createHttpClient();
        incarnation = options.incarnation() - 1;
    }

    /**
     * Starts the first incarnation.
     *
     * @return succeeds with the port
     */
    public Future<Integer> start() {
        return server.start();
    }

    /**
     * Stops the engine for good, without a leave message, as if its process had died.
     *
     * @return completes when the port is closed
     */
    public Future<Void> close() {
        return server.close();
    }

    /**
     * Replaces the injected faults.
     *
     * @param faults the faults
     */
    public void setFaults(Faults faults) {
        server.runOnEventLoop(() -> server.setFaults(faults));
    }

    /** Crashes the current incarnation, as the crash marker does. */
    public void crash() {
        server.runOnEventLoop(server::crash);
    }

    /** Announces that the engine leaves and stops its announcements. Requests in progress run to their end. */
    public void leave() {
        server.runOnEventLoop(() -> {
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
    public void onStart(int listeningPort) {
        port = listeningPort;
        incarnation++;
        sequence = 0;
        models = new EngineModels(
                vertx, options, this::fetchWeights, resident -> runs.hasRequestsOf(resident), this::announceChange);
        runs = new GenerationLoop(vertx, options.timing(), server);
        previousLoad = runs.currentLoad();
        announcer = new Announcer(vertx, options.announcements(), this::nextAnnouncement);
        announcer.start();
    }

    @Override
    public void onStop() {
        if (models == null) {
            return;
        }
        models.close();
        earlierOvercommits += models.overcommitCount();
        earlierLoads += models.loadCount();
        runs.close();
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
            request.body()
                    .onSuccess(
                            body -> server.runAfterResponseDelay(ignored -> handleOrder(request, body.toJsonObject())));
        } else if (request.method() == HttpMethod.GET && path.equals("/v1/state")) {
            server.runAfterResponseDelay(ignored -> StandInServer.respond(request, 200, state()));
        } else {
            request.response().setStatusCode(404).end();
        }
    }

    @Override
    public void addCounters(JsonObject json) {
        json.put("overcommits", earlierOvercommits + models.overcommitCount())
                .put("model_loads", earlierLoads + models.loadCount())
                .put("incarnation", incarnation);
    }

    private void run(HttpServerRequest request, String body) {
        if (models == null) {
            return;
        }
        JsonObject json = new JsonObject(body);
        Optional<ResidentModel> resident = models.findUsable(
                json.getString("model", ""), json.getString("version", ""), json.getString("adapter", ""));
        if (resident.isEmpty()) {
            StandInServer.refuse(request, 404);
            return;
        }
        if (runs.isFull()) {
            StandInServer.refuse(request, 429);
            return;
        }
        server.counters().recordRun(json.getString("request_id"));
        if (server.faults().crashesOn(body)) {
            server.crash();
            return;
        }
        runs.begin(json, resident.get(), request.response());
    }

    private void handleOrder(HttpServerRequest request, JsonObject json) {
        if (models == null) {
            return;
        }
        Order order = Order.ofJson(json);
        Faults faults = server.faults();
        if (faults.lostOrders() > 0) {
            server.setFaults(faults.afterLostOrder());
            models.dropOrder(order);
            request.response().setStatusCode(202).end();
            return;
        }
        EngineModels.Reply reply = models.handleOrder(order, faults.lateOrderMillis());
        if (faults.lostOrderAnswers() > 0) {
            server.setFaults(faults.afterLostOrderAnswer());
            request.connection().close();
            return;
        }
        respondToOrder(request, reply);
    }

    private void respondToOrder(HttpServerRequest request, EngineModels.Reply reply) {
        switch (reply) {
            case ACCEPTED -> request.response().setStatusCode(202).end();
            case FENCED ->
                StandInServer.respond(request, 409, new JsonObject().put("highest_fencing", models.highestFencing()));
            case NO_MEMORY -> request.response().setStatusCode(507).end();
            case NOT_FOUND -> request.response().setStatusCode(404).end();
            default -> throw new IllegalStateException("Unknown reply " + reply);
        }
    }

    private JsonObject state() {
        return models.toJson().put("name", options.name()).put("incarnation", incarnation);
    }

    /** Completes at once if no weight store is configured. */
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

    private void announceChange() {
        announcer.announceNow();
    }

    /**
     * Posts the cache events since the previous announcement and builds the next one, with the next sequence number.
     *
     * @return the body, or {@code null} if announcements are disabled by a fault or no incarnation runs
     */
    private JsonObject nextAnnouncement() {
        if (server.faults().silent() || models == null) {
            return null;
        }
        postCacheEvents();
        sequence++;
        LoadReport reported = previousLoad;
        previousLoad = runs.currentLoad();
        return AnnouncementJson.ofEngine(options, incarnation, sequence, port, models.usableModels(), reported);
    }

    private void postCacheEvents() {
        JsonArray events = runs.drainCacheEvents();
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
