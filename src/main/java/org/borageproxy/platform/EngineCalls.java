package org.borageproxy.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.placement.EngineClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP client that sends orders to model engines and reads their reports. Thread safe. */
final class EngineCalls implements EngineClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(EngineCalls.class);
    private static final String ORDER_PATH = "/order";
    private static final String REPORT_PATH = "/report";
    private static final String EXPECTED_SERVER_HEADER = "X-Expect-Replica";
    private static final int CONNECT_TIMEOUT_MILLIS = 700;
    private static final int KEEP_ALIVE_TIMEOUT_SECONDS = 2;
    private static final int MAX_CONNECTIONS_PER_ENGINE = 4;
    /** Generous, since engines answer within milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private static final int DONE = 200;
    private static final int STARTED = 202;
    private static final int CONFLICT = 409;
    private static final int FENCED = 412;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    private final HttpClient client;
    private final AnswerListener listener;

    EngineCalls(Vertx vertx, AnswerListener listener) {
        this.listener = listener;
        client = vertx.httpClientBuilder()
                .with(new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setKeepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS))
                .with(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENGINE))
                .withConnectHandler(connection -> connection.exceptionHandler(failure -> LOGGER.info(
                        "event=connection-failed peer={} reason=\"{}\"",
                        connection.remoteAddress(),
                        failure.getMessage())))
                .build();
    }

    @Override
    public CompletionStage<OrderReply> sendOrder(BackendServer server, EngineOrder order) {
        JsonObject body = new JsonObject()
                .put("Operation", order.isLoad() ? "load" : "unload")
                .put("Model", order.model())
                .put("Expected", order.expectedOrderCount())
                .put("Holder", order.holder())
                .put("FencingToken", order.fencingToken());
        if (!order.adapter().isEmpty()) {
            body.put("Adapter", order.adapter());
        }
        return client.request(HttpMethod.POST, server.port(), server.host(), ORDER_PATH)
                .compose(request -> request.putHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                        .putHeader(EXPECTED_SERVER_HEADER, server.name().value())
                        .send(body.toBuffer()))
                .compose(response -> {
                    readStatement(server, response);
                    return response.body().map(ignored -> toReply(response.statusCode()));
                })
                .timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .otherwise(failure -> {
                    LOGGER.info("event=order-unanswered server={} reason=\"{}\"", server.name(), failure.getMessage());
                    return OrderReply.UNKNOWN;
                })
                .toCompletionStage();
    }

    private static OrderReply toReply(int status) {
        return switch (status) {
            case STARTED -> OrderReply.ACCEPTED;
            case DONE -> OrderReply.HELD;
            case CONFLICT, UNAVAILABLE -> OrderReply.CONFLICT;
            case FENCED -> OrderReply.FENCED;
            case MISDIRECTED -> OrderReply.REFUSED;
            default -> status >= UNAVAILABLE ? OrderReply.UNKNOWN : OrderReply.REFUSED;
        };
    }

    @Override
    public CompletionStage<Optional<EngineReport>> fetchState(BackendServer server) {
        return client.request(HttpMethod.GET, server.port(), server.host(), REPORT_PATH)
                .compose(request -> request.putHeader(
                                EXPECTED_SERVER_HEADER, server.name().value())
                        .send())
                .compose(response -> {
                    readStatement(server, response);
                    return response.body();
                })
                .map(body -> parseReport(server, body))
                .timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .otherwise(failure -> {
                    LOGGER.info("event=report-unanswered server={} reason=\"{}\"", server.name(), failure.getMessage());
                    return Optional.empty();
                })
                .toCompletionStage();
    }

    private void readStatement(BackendServer server, HttpClientResponse response) {
        PlatformHeaders.parseRetryAfter(
                        response.statusCode(), response.headers().getAll(HttpHeaders.RETRY_AFTER))
                .ifPresent(time -> {
                    LOGGER.info(
                            "event=call-refused server={} incarnation={} retry_after_ms={}",
                            server.name(),
                            server.incarnation(),
                            time.toMillis());
                    listener.onRefusal(server, time);
                });
        if (response.statusCode() != MISDIRECTED) {
            if (PlatformHeaders.parseLeaving(response.headers().getAll(PlatformHeaders.LEAVING_HEADER))) {
                listener.onLeaving(server);
            }
            PlatformHeaders.parseStatement(
                            response.headers().getAll(PlatformHeaders.REQUEST_LIMIT_HEADER),
                            response.headers().getAll(PlatformHeaders.REJECTION_LIMIT_HEADER),
                            response.headers().getAll(PlatformHeaders.COLD_HEADER))
                    .ifPresent(statement -> listener.onStatement(server, statement));
        }
    }

    private static Optional<EngineReport> parseReport(BackendServer server, Buffer body) {
        try {
            JsonObject json = new JsonObject(body);
            Map<String, Set<String>> adapters = new HashMap<>();
            for (LoadedModel model : HeartbeatDocument.decodeModels(json.getJsonArray("Models"))) {
                adapters.put(model.model(), new HashSet<>(model.adapters()));
            }
            long incarnation = Optional.ofNullable(json.getLong("born")).orElse(server.incarnation());
            ModelInventory inventory = new ModelInventory(incarnation, json.getLong("Sequence"), adapters, Set.of());
            int loadingAdapterCount =
                    json.getJsonArray("Pending", new JsonArray()).size();
            return Optional.of(new EngineReport(inventory, json.getBoolean("Busy", false), loadingAdapterCount));
        } catch (DecodeException | ClassCastException | NullPointerException exception) {
            LOGGER.info("event=report-malformed server={} reason=\"{}\"", server.name(), exception.getMessage());
            return Optional.empty();
        }
    }
}
