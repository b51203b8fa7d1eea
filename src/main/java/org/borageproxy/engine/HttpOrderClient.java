package org.borageproxy.engine;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.placement.Intent;

/**
 * Gives orders over HTTP. Each order gets its own connection, so that a connection that the engine has closed is never
 * used and no order is sent twice. Thread safe.
 */
public final class HttpOrderClient implements OrderClient, AutoCloseable {

    /** The longest time for a connection to open, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** The longest time without a byte of the answer, in milliseconds. */
    private static final long IDLE_TIMEOUT_MILLIS = 2_000;
    /** The HTTP status of an accepted order. */
    private static final int ACCEPTED = 202;
    /** The HTTP status of an order with an old fencing number. */
    private static final int CONFLICT = 409;
    /** The HTTP status of an order for which there is no memory. */
    private static final int NO_MEMORY = 507;
    /** The smallest HTTP status that blames the sender. */
    private static final int SMALLEST_REFUSAL = 400;
    /** The smallest HTTP status that says nothing about execution. */
    private static final int SMALLEST_FAILURE = 500;

    /** Opens a connection for each order. */
    private final HttpClient orders;
    /** Reads states over connections that are kept open. */
    private final HttpClient states;

    /**
     * Creates a client.
     *
     * @param vertx the event loops
     */
    public HttpOrderClient(Vertx vertx) {
        HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        orders = vertx.createHttpClient(new HttpClientOptions(options).setKeepAlive(false));
        states = vertx.createHttpClient(options);
    }

    @Override
    public CompletionStage<OrderResult> sendOrder(BackendServer server, Intent intent, BooleanSupplier maySend) {
        CompletableFuture<OrderResult> result = new CompletableFuture<>();
        orders.request(options(server, HttpMethod.POST, "/v1/orders"))
                .onFailure(failure -> result.complete(new OrderResult.NotSent()))
                .onSuccess(request -> send(request, intent, maySend, result));
        return result;
    }

    /**
     * Sends an order over an open connection if it still may be sent.
     *
     * @param request the request
     * @param intent the recorded intent of the order
     * @param maySend asked right before the order is sent
     * @param result gets what is known of the order
     */
    private static void send(
            HttpClientRequest request, Intent intent, BooleanSupplier maySend, CompletableFuture<OrderResult> result) {
        if (!maySend.getAsBoolean()) {
            request.reset();
            result.complete(new OrderResult.NotSent());
            return;
        }
        request.putHeader("content-type", "application/json")
                .send(encode(intent).toBuffer())
                .compose(HttpOrderClient::read)
                .onSuccess(result::complete)
                .onFailure(failure -> result.complete(new OrderResult.Unknown()));
    }

    /**
     * Reads the answer to an order.
     *
     * @param response the response
     * @return succeeds with what is known of the order
     */
    private static Future<OrderResult> read(HttpClientResponse response) {
        return response.body().map(body -> {
            int status = response.statusCode();
            if (status == ACCEPTED) {
                return new OrderResult.Accepted();
            }
            if (status == CONFLICT) {
                return new OrderResult.Fenced(body.toJsonObject().getLong("highest_fencing", 0L));
            }
            boolean refused = status >= SMALLEST_REFUSAL && status < SMALLEST_FAILURE || status == NO_MEMORY;
            return refused ? new OrderResult.Refused(status) : new OrderResult.Unknown();
        });
    }

    @Override
    public CompletionStage<Optional<EngineState>> fetchState(BackendServer server) {
        CompletableFuture<Optional<EngineState>> result = new CompletableFuture<>();
        states.request(options(server, HttpMethod.GET, "/v1/state"))
                .compose(request -> request.send().compose(HttpOrderClient::readState))
                .onSuccess(state ->
                        result.complete(state.filter(read -> read.name().equals(server.name()))))
                .onFailure(failure -> result.complete(Optional.empty()));
        return result;
    }

    /**
     * Reads the state in an answer. Called on the event loop of the answer, since a handler that is attached from
     * another thread may come after the body.
     *
     * @param response the response
     * @return succeeds with the state, empty if the answer holds none
     */
    private static Future<Optional<EngineState>> readState(HttpClientResponse response) {
        return response.body()
                .map(body -> response.statusCode() == 200
                        ? EngineStateParser.parse(body.toString())
                        : Optional.<EngineState>empty());
    }

    /**
     * Returns the options of a request to an engine.
     *
     * @param server the engine
     * @param method the HTTP method
     * @param path the path
     * @return the options
     */
    private static RequestOptions options(BackendServer server, HttpMethod method, String path) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(server.host())
                .setPort(server.port())
                .setURI(path)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    }

    /**
     * Encodes an order.
     *
     * @param intent the recorded intent of the order
     * @return the body of {@code POST /v1/orders}
     */
    private static JsonObject encode(Intent intent) {
        return new JsonObject()
                .put("order", intent.number())
                .put("fencing", intent.number())
                .put("action", intent.action().name().toLowerCase(Locale.ROOT))
                .put("model", intent.model())
                .put("version", intent.version())
                .put("adapter", intent.adapter())
                .put("accelerator", intent.accelerator());
    }

    @Override
    public void close() {
        orders.close();
        states.close();
    }
}
