package org.borageproxy.standin;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * A simulated weight store. Model transfers start at a limited rate; transfers of models and of adapters slow down in
 * proportion to the number in progress beyond the parallel limit. Its state is confined to one event loop; the public
 * methods may be called by any thread.
 */
public final class WeightStore {

    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Segments of {@code /v1/weights/MODEL/VERSION}, with the empty one before the first slash. */
    private static final int MODEL_PATH_SEGMENTS = 5;

    private final Vertx vertx;
    private final WeightStoreOptions options;
    private final Context context;
    private HttpServer server;
    /** Earliest start of the next model transfer, in nanoseconds of the monotonic clock. */
    private long nextModelStartNanos = System.nanoTime();

    /** Model transfers in progress, including those that wait for their start. */
    private int modelsInFlight;

    private int adaptersInFlight;
    private long modelCount;
    private long adapterCount;
    private int largestModelsInFlight;
    private int largestAdaptersInFlight;

    /**
     * Creates a store that is not started.
     *
     * @param vertx the event loops and timers
     * @param options the store's settings
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
     * Stops listening.
     *
     * @return completes when the port is closed
     */
    public Future<Void> close() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals("/counters")) {
            request.response().end(counters().toBuffer());
            return;
        }
        String[] segments = request.path().split("/");
        if (!request.path().startsWith("/v1/weights/") || segments.length < MODEL_PATH_SEGMENTS) {
            request.response().setStatusCode(404).end();
            return;
        }
        if (segments.length == MODEL_PATH_SEGMENTS) {
            serveModel(request);
        } else {
            serveAdapter(request);
        }
    }

    private void serveModel(HttpServerRequest request) {
        modelCount++;
        modelsInFlight++;
        largestModelsInFlight = Math.max(largestModelsInFlight, modelsInFlight);
        long nowNanos = System.nanoTime();
        long startNanos = Math.max(nowNanos, nextModelStartNanos);
        nextModelStartNanos = startNanos + (long) (NANOS_PER_SECOND / options.loadsPerSecond());
        double slowdown = Math.max(1.0, (double) modelsInFlight / options.fullSpeedModels());
        long waitMillis = (startNanos - nowNanos) / NANOS_PER_MILLISECOND;
        long millis = waitMillis + (long) (options.modelMillis() * slowdown);
        vertx.setTimer(Math.max(1, millis), ignored -> {
            modelsInFlight--;
            request.response().end("weights");
        });
    }

    private void serveAdapter(HttpServerRequest request) {
        adapterCount++;
        adaptersInFlight++;
        largestAdaptersInFlight = Math.max(largestAdaptersInFlight, adaptersInFlight);
        double slowdown = Math.max(1.0, (double) adaptersInFlight / options.fullSpeedAdapters());
        vertx.setTimer(Math.max(1, (long) (options.adapterMillis() * slowdown)), ignored -> {
            adaptersInFlight--;
            request.response().end("weights");
        });
    }

    private JsonObject counters() {
        return new JsonObject()
                .put("models", modelCount)
                .put("adapters", adapterCount)
                .put("largest_models_in_flight", largestModelsInFlight)
                .put("largest_adapters_in_flight", largestAdaptersInFlight);
    }
}
