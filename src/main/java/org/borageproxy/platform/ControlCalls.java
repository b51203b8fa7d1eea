package org.borageproxy.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.server.ControlPlane;
import org.borageproxy.settings.Endpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP server for operators and backend servers on a control VM. Immutable and thread safe. */
final class ControlCalls {

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlCalls.class);
    private static final String PUBLISH_PATH = "/Config.Replace";
    private static final String READ_PATH = "/Config.Read";
    private static final String HEARTBEAT_PATH = "/Replicas.Heartbeat/";
    private static final String DEREGISTER_PATH = "/Replicas.Deregister/";
    static final String DRAIN_PATH = "/Evacuations.Begin/";
    static final String RETURN_PATH = "/Evacuations.Finish/";
    static final String READ_DRAINS_PATH = "/Evacuations.Read";
    private static final String JSON = "application/json";
    private static final int IDLE_TIMEOUT_SECONDS = 60;
    /** Far more than the largest publication. */
    private static final int MAX_BODY_BYTES = 4 << 20;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    private final ControlPlane controlPlane;
    private final int heartbeatIntervalMillis;

    private ControlCalls(ControlPlane controlPlane, int heartbeatIntervalMillis) {
        this.controlPlane = controlPlane;
        this.heartbeatIntervalMillis = heartbeatIntervalMillis;
    }

    /**
     * Starts the HTTP server.
     *
     * @param vertx the event loops of the server
     * @param endpoint the address to listen on
     * @param controlPlane handles the calls
     * @param heartbeatIntervalMillis the interval between the heartbeats of a backend server, in milliseconds
     * @return completes when the server listens; fails if the port cannot be opened
     */
    static CompletionStage<?> serve(
            Vertx vertx, Endpoint endpoint, ControlPlane controlPlane, int heartbeatIntervalMillis) {
        ControlCalls calls = new ControlCalls(controlPlane, heartbeatIntervalMillis);
        HttpServerOptions options = new HttpServerOptions()
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false)
                .setIdleTimeout(IDLE_TIMEOUT_SECONDS);
        return vertx.createHttpServer(options)
                .connectionHandler(connection -> connection.exceptionHandler(failure -> LOGGER.info(
                        "event=connection-failed peer={} reason=\"{}\"",
                        connection.remoteAddress(),
                        failure.getMessage())))
                .requestHandler(calls::read)
                .listen()
                .toCompletionStage();
    }

    /** Reads the body; a caller may send one without end, so that a connection with too large a one is closed. */
    private void read(HttpServerRequest request) {
        Buffer body = Buffer.buffer();
        request.handler(part -> {
            if (body.length() + part.length() <= MAX_BODY_BYTES) {
                body.appendBuffer(part);
                return;
            }
            LOGGER.info("event=call-too-large path={} bytes={}", request.path(), body.length() + part.length());
            request.handler(rest -> {}).endHandler(nothing -> {});
            request.response()
                    .setStatusCode(TOO_LARGE)
                    .putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE)
                    .end()
                    .onComplete(sent -> request.connection().close());
        });
        request.endHandler(nothing -> handle(request, body));
    }

    private void handle(HttpServerRequest request, Buffer body) {
        String path = request.path();
        boolean isPost = request.method().equals(HttpMethod.POST);
        if (isPost && path.equals(PUBLISH_PATH)) {
            publish(request, body);
        } else if (path.equals(READ_PATH) && request.method().equals(HttpMethod.GET)) {
            readPublication(request);
        } else if (isPost && path.startsWith(HEARTBEAT_PATH)) {
            heartbeat(request, path.substring(HEARTBEAT_PATH.length()), body);
        } else if (isPost && path.startsWith(DEREGISTER_PATH) && path.length() > DEREGISTER_PATH.length()) {
            controlPlane.handleDeparture(
                    new BackendServerName(path.substring(DEREGISTER_PATH.length())),
                    HeartbeatDocument.decodeIncarnation(body));
            respond(request, OK, "{}");
        } else if (path.equals(READ_DRAINS_PATH) && request.method().equals(HttpMethod.GET)) {
            readDrains(request);
        } else if (isPost && path.startsWith(DRAIN_PATH)) {
            orderZone(request, path.substring(DRAIN_PATH.length()), true);
        } else if (isPost && path.startsWith(RETURN_PATH)) {
            orderZone(request, path.substring(RETURN_PATH.length()), false);
        } else {
            respond(request, NOT_FOUND, "{}");
        }
    }

    private void readDrains(HttpServerRequest request) {
        controlPlane
                .readDrainedZones()
                .thenAccept(zones -> zones.ifPresentOrElse(
                        names -> respond(
                                request,
                                OK,
                                new JsonObject()
                                        .put("Drained", new JsonArray(List.copyOf(names)))
                                        .toBuffer()),
                        () -> respond(request, UNAVAILABLE, "{}")));
    }

    private void orderZone(HttpServerRequest request, String encodedZone, boolean isDrain) {
        String zone;
        try {
            zone = QueryStringDecoder.decodeComponent(encodedZone);
        } catch (IllegalArgumentException exception) {
            respond(request, BAD_REQUEST, "{}");
            return;
        }
        controlPlane.orderZone(zone, isDrain).thenAccept(result -> {
            switch (result) {
                case ACCEPTED -> respond(request, OK, "{}");
                case UNKNOWN_ZONE -> respond(request, NOT_FOUND, "{}");
                default -> respond(request, UNAVAILABLE, "{}");
            }
        });
    }

    private void publish(HttpServerRequest request, Buffer body) {
        controlPlane.publish(body.getBytes()).thenAccept(result -> {
            if (result instanceof ControlPlane.PublishResult.Accepted) {
                respond(request, OK, "{}");
            } else if (result instanceof ControlPlane.PublishResult.Invalid) {
                respond(request, BAD_REQUEST, "{}");
            } else {
                respond(request, UNAVAILABLE, "{}");
            }
        });
    }

    private void readPublication(HttpServerRequest request) {
        controlPlane
                .read()
                .thenAccept(document -> document.ifPresentOrElse(
                        bytes -> respond(request, OK, Buffer.buffer(bytes)),
                        () -> respond(request, UNAVAILABLE, "{}")));
    }

    private void heartbeat(HttpServerRequest request, String name, Buffer body) {
        HeartbeatDocument.decode(name, body, heartbeatIntervalMillis)
                .ifPresentOrElse(
                        heartbeat -> {
                            controlPlane.handleHeartbeat(heartbeat.announcement(), heartbeat.isLeaving());
                            respond(request, OK, "{}");
                        },
                        () -> {
                            LOGGER.info("event=heartbeat-malformed server={} bytes={}", name, body.length());
                            respond(request, BAD_REQUEST, "{}");
                        });
    }

    private static void respond(HttpServerRequest request, int status, String body) {
        respond(request, status, Buffer.buffer(body));
    }

    private static void respond(HttpServerRequest request, int status, Buffer body) {
        request.response()
                .setStatusCode(status)
                .putHeader(HttpHeaders.CONTENT_TYPE, JSON)
                .end(body);
    }
}
