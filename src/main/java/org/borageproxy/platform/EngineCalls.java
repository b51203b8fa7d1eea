package org.borageproxy.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.engine.BoundedExchange;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BoundedJson;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.placement.EngineClient;
import org.borageproxy.time.Deadline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP client that sends orders to model engines and reads their reports. An answer that is too large or incomplete
 * after the timeout counts as none, and its connection is closed. Thread safe.
 */
final class EngineCalls implements EngineClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(EngineCalls.class);
    private static final String ORDER_PATH = "/order";
    private static final String REPORT_PATH = "/report";
    private static final String EXPECTED_SERVER_HEADER = "X-Expect-Replica";
    private static final int CONNECT_TIMEOUT_MILLIS = 700;
    private static final int KEEP_ALIVE_TIMEOUT_SECONDS = 2;
    private static final int MAX_CONNECTIONS_PER_ENGINE = 4;
    /** Generous, since engines answer within milliseconds. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);
    /** Far more than a report of all models and adapters that an engine can hold. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    private static final int DONE = 200;
    private static final int STARTED = 202;
    private static final int CONFLICT = 409;
    private static final int FENCED = 412;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    private final Vertx vertx;
    private final HttpClient client;
    private final AnswerListener listener;

    EngineCalls(Vertx vertx, AnswerListener listener) {
        this.vertx = vertx;
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
        return call(server, HttpMethod.POST, ORDER_PATH, body.toBuffer())
                .map(answer -> toReply(answer.status()))
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
        return call(server, HttpMethod.GET, REPORT_PATH, Buffer.buffer())
                .map(answer -> parseReport(server, answer.body()))
                .otherwise(failure -> {
                    LOGGER.info("event=report-unanswered server={} reason=\"{}\"", server.name(), failure.getMessage());
                    return Optional.empty();
                })
                .toCompletionStage();
    }

    /** Calls an engine; the timeout includes the time until a connection is available. */
    private Future<BoundedExchange.Answer> call(BackendServer server, HttpMethod method, String path, Buffer content) {
        Deadline deadline = Deadline.after(System.nanoTime(), CALL_TIMEOUT);
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(server.host())
                .setPort(server.port())
                .setURI(path)
                .setTimeout(CALL_TIMEOUT.toMillis())
                .putHeader(EXPECTED_SERVER_HEADER, server.name().value());
        if (content.length() > 0) {
            options.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        }
        return Future.succeededFuture()
                .compose(start -> client.request(options))
                .compose(request -> BoundedExchange.send(
                        vertx,
                        request,
                        content,
                        deadline,
                        MAX_BODY_BYTES,
                        response -> readStatement(server, response)));
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
            JsonObject json = BoundedJson.parse(body);
            Map<String, Set<String>> adapters = new HashMap<>();
            for (LoadedModel model : HeartbeatDocument.decodeModels(json.getJsonArray("Models"))) {
                adapters.put(model.model(), new HashSet<>(model.adapters()));
            }
            long incarnation = json.containsKey("born")
                    ? BoundedJson.wholeNumber(json, "born", BoundedJson.MAX_WHOLE_NUMBER)
                    : server.incarnation();
            long orderCount = BoundedJson.wholeNumber(json, "Sequence", BoundedJson.MAX_WHOLE_NUMBER);
            ModelInventory inventory = new ModelInventory(incarnation, orderCount, adapters, Set.of());
            int loadingAdapterCount =
                    json.getJsonArray("Pending", new JsonArray()).size();
            return Optional.of(new EngineReport(inventory, json.getBoolean("Busy", false), loadingAdapterCount));
        } catch (DecodeException | ClassCastException | NullPointerException | IllegalArgumentException exception) {
            LOGGER.info("event=report-malformed server={} reason=\"{}\"", server.name(), exception.getMessage());
            return Optional.empty();
        }
    }
}
