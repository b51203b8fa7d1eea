package org.borageproxy.platform;

import java.util.concurrent.CompletionStage;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.server.ControlPlane;
import org.borageproxy.settings.Endpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The calls of operators and backend servers. Immutable and thread safe. */
final class ControlCalls {

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlCalls.class);
    private static final String PUBLISH = "/Config.Replace";
    private static final String READ = "/Config.Read";
    private static final String HEARTBEAT = "/Replicas.Heartbeat/";
    private static final String FAREWELL = "/Replicas.Deregister/";
    private static final String JSON = "application/json";
    private static final int IDLE_SECONDS = 60;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final ControlPlane plane;
    private final int heartbeatMillis;

    private ControlCalls(ControlPlane plane, int heartbeatMillis) {
        this.plane = plane;
        this.heartbeatMillis = heartbeatMillis;
    }

    /**
     * Serves the calls.
     *
     * @param vertx runs the server
     * @param endpoint where to listen
     * @param plane answers
     * @param heartbeatMillis the time between heartbeats, in milliseconds
     * @return completes when calls are taken
     */
    static CompletionStage<?> serve(Vertx vertx, Endpoint endpoint, ControlPlane plane, int heartbeatMillis) {
        ControlCalls calls = new ControlCalls(plane, heartbeatMillis);
        HttpServerOptions options = new HttpServerOptions()
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setIdleTimeout(IDLE_SECONDS);
        return vertx.createHttpServer(options)
                .connectionHandler(connection -> connection.exceptionHandler(failure -> LOGGER.info(
                        "event=connection-failed peer={} reason=\"{}\"",
                        connection.remoteAddress(),
                        failure.getMessage())))
                .requestHandler(request -> request.body().onSuccess(body -> calls.handle(request, body)))
                .listen()
                .toCompletionStage();
    }

    private void handle(HttpServerRequest request, Buffer body) {
        String path = request.path();
        boolean isPost = request.method().equals(HttpMethod.POST);
        if (isPost && path.equals(PUBLISH)) {
            publish(request, body);
        } else if (path.equals(READ) && request.method().equals(HttpMethod.GET)) {
            read(request);
        } else if (isPost && path.startsWith(HEARTBEAT)) {
            heartbeat(request, path.substring(HEARTBEAT.length()), body);
        } else if (isPost && path.startsWith(FAREWELL) && path.length() > FAREWELL.length()) {
            plane.handleDeparture(
                    new BackendServerName(path.substring(FAREWELL.length())), HeartbeatDocument.incarnation(body));
            answer(request, OK, "{}");
        } else {
            answer(request, NOT_FOUND, "{}");
        }
    }

    private void publish(HttpServerRequest request, Buffer body) {
        plane.publish(body.getBytes()).thenAccept(published -> {
            if (published instanceof ControlPlane.PublishResult.Accepted) {
                answer(request, OK, "{}");
            } else if (published instanceof ControlPlane.PublishResult.Invalid) {
                answer(request, BAD_REQUEST, "{}");
            } else {
                answer(request, UNAVAILABLE, "{}");
            }
        });
    }

    private void read(HttpServerRequest request) {
        plane.read()
                .thenAccept(document -> document.ifPresentOrElse(
                        bytes -> answer(request, OK, Buffer.buffer(bytes)), () -> answer(request, UNAVAILABLE, "{}")));
    }

    private void heartbeat(HttpServerRequest request, String name, Buffer body) {
        HeartbeatDocument.decode(name, body, heartbeatMillis)
                .ifPresentOrElse(
                        heartbeat -> {
                            plane.handleHeartbeat(heartbeat.announcement(), heartbeat.leaves());
                            answer(request, OK, "{}");
                        },
                        () -> {
                            LOGGER.info("event=heartbeat-malformed server={} bytes={}", name, body.length());
                            answer(request, BAD_REQUEST, "{}");
                        });
    }

    private static void answer(HttpServerRequest request, int status, String body) {
        answer(request, status, Buffer.buffer(body));
    }

    private static void answer(HttpServerRequest request, int status, Buffer body) {
        request.response()
                .setStatusCode(status)
                .putHeader(HttpHeaders.CONTENT_TYPE, JSON)
                .end(body);
    }
}
