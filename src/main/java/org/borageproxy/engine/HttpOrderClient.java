package org.borageproxy.engine;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.placement.Intent;
import org.borageproxy.time.Deadline;

/**
 * Sends orders over HTTP. Each order uses a connection of its own: a connection that is kept open may have been closed
 * by the engine, and no order may be sent twice. Thread safe.
 */
public final class HttpOrderClient implements OrderClient, AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Longest time without a byte of the response. */
    private static final long IDLE_TIMEOUT_MILLIS = 2_000;
    /** Longest time of an exchange on an open connection. */
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(5);
    /** Far more than the state of all models and adapters that an engine can hold. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    /** An engine that has accepted a higher fencing token answers 409 Conflict. */
    private static final int CONFLICT = 409;
    /** An engine without memory for a load answers 507 Insufficient Storage, which proves that it executed nothing. */
    private static final int NO_MEMORY = 507;

    private static final int FIRST_CLIENT_ERROR = 400;
    /** A server error other than 507 does not prove whether the order is executed. */
    private static final int FIRST_SERVER_ERROR = 500;

    private final Vertx vertx;
    private final HttpClient orderHttpClient;
    private final HttpClient stateHttpClient;

    /**
     * Creates a client.
     *
     * @param vertx the event loops
     */
    public HttpOrderClient(Vertx vertx) {
        this.vertx = vertx;
        HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        orderHttpClient = vertx.createHttpClient(new HttpClientOptions(options).setKeepAlive(false));
        stateHttpClient = vertx.createHttpClient(options);
    }

    @Override
    public CompletionStage<OrderResult> sendOrder(BackendServer server, Intent intent, BooleanSupplier maySend) {
        CompletableFuture<OrderResult> result = new CompletableFuture<>();
        orderHttpClient
                .request(options(server, HttpMethod.POST, "/v1/orders"))
                .onFailure(failure -> result.complete(new OrderResult.NotSent()))
                .onSuccess(request -> send(request, intent, maySend, result));
        return result;
    }

    private void send(
            HttpClientRequest request, Intent intent, BooleanSupplier maySend, CompletableFuture<OrderResult> result) {
        if (!maySend.getAsBoolean()) {
            request.reset();
            result.complete(new OrderResult.NotSent());
            return;
        }
        request.putHeader("content-type", "application/json");
        exchange(request, encode(intent).toBuffer())
                .map(HttpOrderClient::toOrderResult)
                .onSuccess(result::complete)
                .onFailure(failure -> result.complete(new OrderResult.Unknown()));
    }

    private Future<BoundedExchange.Answer> exchange(HttpClientRequest request, Buffer content) {
        Deadline deadline = Deadline.after(System.nanoTime(), EXCHANGE_TIMEOUT);
        return BoundedExchange.send(vertx, request, content, deadline, MAX_BODY_BYTES, head -> {});
    }

    private static OrderResult toOrderResult(BoundedExchange.Answer answer) {
        int status = answer.status();
        if (status == ACCEPTED) {
            return new OrderResult.Accepted();
        }
        if (status == CONFLICT) {
            return new OrderResult.Fenced(answer.body().toJsonObject().getLong("highest_fencing", 0L));
        }
        boolean isRefused = status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR || status == NO_MEMORY;
        return isRefused ? new OrderResult.Refused(status) : new OrderResult.Unknown();
    }

    @Override
    public CompletionStage<Optional<EngineState>> fetchState(BackendServer server) {
        CompletableFuture<Optional<EngineState>> result = new CompletableFuture<>();
        stateHttpClient
                .request(options(server, HttpMethod.GET, "/v1/state"))
                .compose(request -> exchange(request, Buffer.buffer()))
                .map(HttpOrderClient::readState)
                .onSuccess(state ->
                        result.complete(state.filter(read -> read.name().equals(server.name()))))
                .onFailure(failure -> result.complete(Optional.empty()));
        return result;
    }

    private static Optional<EngineState> readState(BoundedExchange.Answer answer) {
        return answer.status() == OK ? EngineStateParser.parse(answer.body().toString()) : Optional.empty();
    }

    private static RequestOptions options(BackendServer server, HttpMethod method, String path) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(server.host())
                .setPort(server.port())
                .setURI(path)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    }

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
        orderHttpClient.close();
        stateHttpClient.close();
    }
}
