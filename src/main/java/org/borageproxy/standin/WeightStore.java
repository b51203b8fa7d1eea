package org.borageproxy.standin;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * A stand-in weight store. Models leave it at a limited rate; loads beyond the parallel limits take proportionally
 * longer. Its state is confined to one event loop; the public methods are safe for use by any thread.
 */
public final class WeightStore {

    /** Nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;
    /** The number of path segments before the adapter's name. */
    private static final int MODEL_SEGMENTS = 5;

    /** The event loops and timers. */
    private final Vertx vertx;
    /** How the store is set up. */
    private final WeightStoreOptions options;
    /** The event loop that everything runs on. */
    private final Context context;
    /** The HTTP server. */
    private HttpServer server;
    /** When the next model may leave, in nanoseconds of the monotonic clock. */
    private long nextModelNanos = System.nanoTime();
    /** Models served now. */
    private int modelsInFlight;
    /** Adapters served now. */
    private int adaptersInFlight;
    /** Models served since the start. */
    private long models;
    /** Adapters served since the start. */
    private long adapters;
    /** The largest number of models served at once. */
    private int largestModelsInFlight;
    /** The largest number of adapters served at once. */
    private int largestAdaptersInFlight;

    /**
     * Creates a store.
     *
     * @param vertx the event loops and timers
     * @param options how the store is set up
     */
    public WeightStore(Vertx vertx, WeightStoreOptions options) {
        this.vertx = vertx;
        this.options = options;
        context = vertx.getOrCreateContext();
    }

    /**
     * Starts to listen.
     *
     * @return succeeds with the port
     */
    public Future<Integer> start() {
        Promise<Integer> port = Promise.promise();
        context.runOnContext(ignored -> {
            server = vertx.createHttpServer().requestHandler(this::handle);
            server.listen(options.port(), options.host())
                    .map(HttpServer::actualPort)
                    .onComplete(port);
        });
        return port.future();
    }

    /**
     * Stops to listen.
     *
     * @return completes when closed
     */
    public Future<Void> close() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /**
     * Answers a request.
     *
     * @param request the request
     */
    private void handle(HttpServerRequest request) {
        if (request.path().equals("/counters")) {
            request.response().end(counters().toBuffer());
            return;
        }
        String[] segments = request.path().split("/");
        if (!request.path().startsWith("/v1/weights/") || segments.length < MODEL_SEGMENTS) {
            request.response().setStatusCode(404).end();
            return;
        }
        if (segments.length == MODEL_SEGMENTS) {
            serveModel(request);
        } else {
            serveAdapter(request);
        }
    }

    /**
     * Serves a model at the limited rate.
     *
     * @param request the request
     */
    private void serveModel(HttpServerRequest request) {
        models++;
        modelsInFlight++;
        largestModelsInFlight = Math.max(largestModelsInFlight, modelsInFlight);
        long nowNanos = System.nanoTime();
        long startNanos = Math.max(nowNanos, nextModelNanos);
        nextModelNanos = startNanos + (long) (NANOS_PER_SECOND / options.loadsPerSecond());
        double slowdown = Math.max(1.0, (double) modelsInFlight / options.fullSpeedModels());
        long waitMillis = (startNanos - nowNanos) / NANOS_PER_MILLISECOND;
        long millis = waitMillis + (long) (options.modelMillis() * slowdown);
        vertx.setTimer(Math.max(1, millis), ignored -> {
            modelsInFlight--;
            request.response().end("weights");
        });
    }

    /**
     * Serves an adapter.
     *
     * @param request the request
     */
    private void serveAdapter(HttpServerRequest request) {
        adapters++;
        adaptersInFlight++;
        largestAdaptersInFlight = Math.max(largestAdaptersInFlight, adaptersInFlight);
        double slowdown = Math.max(1.0, (double) adaptersInFlight / options.fullSpeedAdapters());
        vertx.setTimer(Math.max(1, (long) (options.adapterMillis() * slowdown)), ignored -> {
            adaptersInFlight--;
            request.response().end("weights");
        });
    }

    /**
     * Returns the counters.
     *
     * @return the body of {@code GET /counters}
     */
    private JsonObject counters() {
        return new JsonObject()
                .put("models", models)
                .put("adapters", adapters)
                .put("largest_models_in_flight", largestModelsInFlight)
                .put("largest_adapters_in_flight", largestAdaptersInFlight);
    }
}
