package org.borageproxy.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.borageproxy.result.ResultCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The operators' HTTP server. It answers only requests that carry the operators' credential, and gives them to the
 * first route that matches. Safe for use by any thread.
 */
public final class OperatorServer {

    /** Logs failures of routes. */
    private static final Logger LOGGER = LoggerFactory.getLogger(OperatorServer.class);

    /** The largest size of a request's body, in bytes. */
    private static final int GREATEST_BODY_BYTES = 2 * 1024 * 1024;

    /** The time after which an idle connection is closed, in seconds. */
    private static final int IDLE_SECONDS = 60;

    /** What stands before the credential in its header. */
    private static final String SCHEME = "Bearer ";

    /** Runs the server and the routes. */
    private final Vertx vertx;

    /** The HTTP server. */
    private final HttpServer server;

    /** The digest of the operators' credential. */
    private final byte[] credentialDigest;

    /** The routes. */
    private final List<OperatorRoute> routes;

    /** The IP address to listen on. */
    private final String host;

    /** The TCP port to listen on. */
    private final int port;

    /**
     * Creates a server.
     *
     * @param vertx runs the server
     * @param host the IP address to listen on
     * @param port the TCP port to listen on, or zero for any
     * @param credential the operators' credential
     * @param routes the routes
     */
    public OperatorServer(Vertx vertx, String host, int port, String credential, List<OperatorRoute> routes) {
        if (credential.isBlank()) {
            throw new IllegalArgumentException("The operators' credential must not be empty");
        }
        this.vertx = vertx;
        this.host = host;
        this.port = port;
        this.credentialDigest = digestOf(credential);
        this.routes = List.copyOf(routes);
        this.server = vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(IDLE_SECONDS));
        server.requestHandler(this::accept);
    }

    /**
     * Starts to listen.
     *
     * @return the TCP port
     */
    public CompletionStage<Integer> start() {
        return server.listen(port, host).map(HttpServer::actualPort).toCompletionStage();
    }

    /**
     * Stops to listen.
     *
     * @return completes when the server is closed
     */
    public CompletionStage<Void> stop() {
        return server.close().toCompletionStage();
    }

    /**
     * Takes a request once its body is complete.
     *
     * @param request the request
     */
    private void accept(HttpServerRequest request) {
        if (!isOperator(request)) {
            respond(request.response(), OperatorAnswer.failed(ResultCode.OPERATOR_REFUSED));
            return;
        }
        Buffer body = Buffer.buffer();
        request.handler(part -> {
            if (body.length() <= GREATEST_BODY_BYTES) {
                body.appendBuffer(part);
            }
        });
        request.endHandler(ignored -> route(request, body));
    }

    /**
     * Gives a request to its route.
     *
     * @param request the request
     * @param body the whole body
     */
    private void route(HttpServerRequest request, Buffer body) {
        HttpServerResponse response = request.response();
        if (body.length() > GREATEST_BODY_BYTES) {
            respond(response, OperatorAnswer.failed(ResultCode.BODY_TOO_LARGE));
            return;
        }
        boolean isKnownPath = false;
        for (OperatorRoute route : routes) {
            Optional<Map<String, String>> parameters = route.match(request.path());
            if (parameters.isPresent() && route.method().equals(request.method().name())) {
                handle(request, route, parameters.get(), body);
                return;
            }
            isKnownPath |= parameters.isPresent();
        }
        ResultCode code = isKnownPath ? ResultCode.METHOD_NOT_ALLOWED : ResultCode.UNKNOWN_PATH;
        respond(response, OperatorAnswer.failed(code));
    }

    /**
     * Handles a request by a route.
     *
     * @param request the request
     * @param route the route
     * @param parameters the parameters of the path
     * @param body the whole body
     */
    private void handle(HttpServerRequest request, OperatorRoute route, Map<String, String> parameters, Buffer body) {
        HttpServerResponse response = request.response();
        CompletionStage<OperatorAnswer> answer;
        try {
            JsonObject json = body.length() == 0 ? new JsonObject() : new JsonObject(body);
            Map<String, String> query = new HashMap<>();
            request.params().forEach(query::put);
            OperatorRequest decoded = new OperatorRequest(parameters, query, json);
            answer = vertx.executeBlocking(() -> route.handler().handle(decoded), false)
                    .toCompletionStage()
                    .thenCompose(Function.identity());
        } catch (DecodeException exception) {
            respond(response, OperatorAnswer.failed(ResultCode.MALFORMED_REQUEST, "The body is not a JSON object"));
            return;
        }
        answer.whenComplete((result, failure) -> {
            if (failure == null) {
                respond(response, result);
            } else {
                fail(response, route, failure);
            }
        });
    }

    /**
     * Answers a request that failed for an internal reason.
     *
     * @param response the response
     * @param route the route
     * @param failure the failure
     */
    private static void fail(HttpServerResponse response, OperatorRoute route, Throwable failure) {
        LOGGER.error("event=operator-request-failed method={} path={}", route.method(), route.path(), failure);
        respond(response, OperatorAnswer.failed(ResultCode.INTERNAL));
    }

    /**
     * Writes an answer.
     *
     * @param response the response
     * @param answer the answer
     */
    private static void respond(HttpServerResponse response, OperatorAnswer answer) {
        if (!response.ended() && !response.closed()) {
            response.setStatusCode(answer.code().httpStatus())
                    .putHeader("content-type", "application/json")
                    .end(answer.body().toBuffer());
        }
    }

    /**
     * Compares the credential of a request in constant time.
     *
     * @param request the request
     * @return {@code true} if it is the operators' credential
     */
    private boolean isOperator(HttpServerRequest request) {
        String header = request.getHeader("authorization");
        String presented = header != null && header.startsWith(SCHEME) ? header.substring(SCHEME.length()) : "";
        return MessageDigest.isEqual(credentialDigest, digestOf(presented));
    }

    /**
     * Returns the digest of a credential.
     *
     * @param credential the credential
     * @return the digest
     */
    private static byte[] digestOf(String credential) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(credential.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
