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
 * The operators' HTTP server. Requests without the operators' credential are refused before the body is read; others
 * are dispatched to the first matching route. Thread safe.
 */
public final class OperatorServer {

    /** Logs failures of handlers. */
    private static final Logger LOGGER = LoggerFactory.getLogger(OperatorServer.class);

    /** The maximum size of a request body, in bytes. */
    private static final int MAX_BODY_BYTES = 2 * 1024 * 1024;

    /** The time, in seconds, after which an idle connection is closed. */
    private static final int IDLE_TIMEOUT_SECONDS = 60;

    /** The prefix of the credential in the authorization header. */
    private static final String BEARER_PREFIX = "Bearer ";

    /** Runs the server and the handlers. */
    private final Vertx vertx;

    /** The HTTP server. */
    private final HttpServer server;

    /** The digest of the operators' credential, which makes compared values equal in length. */
    private final byte[] credentialDigest;

    /** The routes in order of precedence. */
    private final List<OperatorRoute> routes;

    /** The IP address to listen on. */
    private final String host;

    /** The TCP port to listen on; zero selects any free port. */
    private final int port;

    /**
     * Creates a server.
     *
     * @param vertx runs the server and the handlers
     * @param host the IP address to listen on
     * @param port the TCP port to listen on; zero selects any free port
     * @param credential the operators' credential, not blank
     * @param routes the routes in order of precedence
     */
    public OperatorServer(Vertx vertx, String host, int port, String credential, List<OperatorRoute> routes) {
        if (credential.isBlank()) {
            throw new IllegalArgumentException("The operators' credential must not be blank");
        }
        this.vertx = vertx;
        this.host = host;
        this.port = port;
        this.credentialDigest = digestOf(credential);
        this.routes = List.copyOf(routes);
        this.server = vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(IDLE_TIMEOUT_SECONDS));
        server.requestHandler(this::receive);
    }

    /**
     * Starts listening.
     *
     * @return the actual TCP port; fails if the endpoint cannot be bound
     */
    public CompletionStage<Integer> start() {
        return server.listen(port, host).map(HttpServer::actualPort).toCompletionStage();
    }

    /**
     * Closes the server and its connections.
     *
     * @return completes when the server is closed
     */
    public CompletionStage<Void> stop() {
        return server.close().toCompletionStage();
    }

    /**
     * Authenticates a request and dispatches it once its body is complete.
     *
     * @param request the request
     */
    private void receive(HttpServerRequest request) {
        if (!hasOperatorCredential(request)) {
            respond(request.response(), OperatorResponse.error(ResultCode.OPERATOR_REFUSED));
            return;
        }
        Buffer body = Buffer.buffer();
        request.handler(part -> {
            if (body.length() <= MAX_BODY_BYTES) {
                body.appendBuffer(part);
            }
        });
        request.endHandler(ignored -> dispatch(request, body));
    }

    /**
     * Dispatches a request to the first matching route.
     *
     * @param request the request
     * @param body the body, truncated if it exceeds the limit
     */
    private void dispatch(HttpServerRequest request, Buffer body) {
        HttpServerResponse httpResponse = request.response();
        if (body.length() > MAX_BODY_BYTES) {
            respond(httpResponse, OperatorResponse.error(ResultCode.BODY_TOO_LARGE));
            return;
        }
        boolean isPathMatched = false;
        for (OperatorRoute route : routes) {
            Optional<Map<String, String>> parameters = route.match(request.path());
            if (parameters.isPresent() && route.method().equals(request.method().name())) {
                handle(request, route, parameters.get(), body);
                return;
            }
            isPathMatched |= parameters.isPresent();
        }
        ResultCode code = isPathMatched ? ResultCode.METHOD_NOT_ALLOWED : ResultCode.UNKNOWN_PATH;
        respond(httpResponse, OperatorResponse.error(code));
    }

    /**
     * Decodes a request and calls the handler of its route on a worker thread.
     *
     * @param request the request
     * @param route the route
     * @param parameters the parameters of the path
     * @param body the complete body
     */
    private void handle(HttpServerRequest request, OperatorRoute route, Map<String, String> parameters, Buffer body) {
        HttpServerResponse httpResponse = request.response();
        CompletionStage<OperatorResponse> response;
        try {
            JsonObject json = body.length() == 0 ? new JsonObject() : new JsonObject(body);
            Map<String, String> query = new HashMap<>();
            request.params().forEach(query::put);
            OperatorRequest decoded = new OperatorRequest(parameters, query, json);
            response = vertx.executeBlocking(() -> route.handler().handle(decoded), false)
                    .toCompletionStage()
                    .thenCompose(Function.identity());
        } catch (DecodeException exception) {
            respond(
                    httpResponse,
                    OperatorResponse.error(ResultCode.MALFORMED_REQUEST, "The body is not a JSON object"));
            return;
        }
        response.whenComplete((result, failure) -> {
            if (failure == null) {
                respond(httpResponse, result);
            } else {
                respondInternalError(httpResponse, route, failure);
            }
        });
    }

    /**
     * Logs the failure of a handler and responds with an internal error.
     *
     * @param httpResponse the HTTP response
     * @param route the route of the handler
     * @param failure the failure
     */
    private static void respondInternalError(HttpServerResponse httpResponse, OperatorRoute route, Throwable failure) {
        LOGGER.error("event=operator-request-failed method={} path={}", route.method(), route.path(), failure);
        respond(httpResponse, OperatorResponse.error(ResultCode.INTERNAL));
    }

    /**
     * Writes a response unless the HTTP response has ended or its connection is closed.
     *
     * @param httpResponse the HTTP response
     * @param response the response
     */
    private static void respond(HttpServerResponse httpResponse, OperatorResponse response) {
        if (!httpResponse.ended() && !httpResponse.closed()) {
            httpResponse
                    .setStatusCode(response.code().httpStatus())
                    .putHeader("content-type", "application/json")
                    .end(response.body().toBuffer());
        }
    }

    /**
     * Returns whether a request carries the operators' credential. The comparison takes constant time, so that its
     * duration reveals nothing about the credential.
     *
     * @param request the request
     * @return {@code true} if it does
     */
    private boolean hasOperatorCredential(HttpServerRequest request) {
        String header = request.getHeader("authorization");
        String presented =
                header != null && header.startsWith(BEARER_PREFIX) ? header.substring(BEARER_PREFIX.length()) : "";
        return MessageDigest.isEqual(credentialDigest, digestOf(presented));
    }

    /**
     * Computes the digest of a credential.
     *
     * @param credential the credential
     * @return the SHA-256 digest
     */
    private static byte[] digestOf(String credential) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(credential.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
