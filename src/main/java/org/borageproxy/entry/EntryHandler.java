package org.borageproxy.entry;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;

import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.borageproxy.key.AuthenticationResult;
import org.borageproxy.key.KeyAuthenticator;
import org.borageproxy.result.ResultCode;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Route;

/** Takes callers' requests, checks them and hands them to the handler of their path. Safe for use by any event loop. */
final class EntryHandler implements Handler<HttpServerRequest> {

    /** How long a caller is told to wait when the configuration is stale or this VM shuts down. */
    private static final Duration SHORT_WAIT = Duration.ofSeconds(1);

    /** What handlers share. */
    private final EntryComponents parts;
    /** Where the interface stands. */
    private final DrainState state;
    /** Answers requests to models. */
    private final ModelHandler models;
    /** Answers requests to plain services. */
    private final ServiceHandler services;
    /** Answers requests about this VM. */
    private final HealthHandler health;

    /**
     * Creates a handler.
     *
     * @param parts what handlers share
     * @param state where the interface stands
     */
    EntryHandler(EntryComponents parts, DrainState state) {
        this.parts = parts;
        this.state = state;
        this.models = new ModelHandler(parts);
        this.services = new ServiceHandler(parts);
        this.health = new HealthHandler(parts, state);
    }

    @Override
    public void handle(HttpServerRequest request) {
        if (health.isHealthPath(request)) {
            health.handle(request);
            return;
        }
        String identity = UUID.randomUUID().toString();
        CallerResponse response = response(identity, request);
        if (state.phase() == DrainState.Phase.REFUSING) {
            response.refuse(ResultCode.SHUTTING_DOWN, SHORT_WAIT);
            return;
        }
        Optional<ResultCode> refusal = checkHead(request);
        if (refusal.isPresent()) {
            response.refuse(refusal.get());
            return;
        }
        response.runGuarded(() -> route(identity, request, response));
    }

    /**
     * Answers a request whose head could not be parsed.
     *
     * @param request the request
     */
    void handleInvalid(HttpServerRequest request) {
        CallerResponse response = response(UUID.randomUUID().toString(), request);
        Throwable cause = request.decoderResult().cause();
        boolean ambiguous = cause instanceof AmbiguousFramingException
                || String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT).contains("content-length");
        request.response().putHeader("connection", "close");
        response.refuse(ambiguous ? ResultCode.AMBIGUOUS_FRAMING : ResultCode.MALFORMED_REQUEST);
        request.connection().close();
    }

    /**
     * Creates the response to a request and counts the call until it is completed.
     *
     * @param identity the request's identity
     * @param request the request
     * @return the response
     */
    private CallerResponse response(String identity, HttpServerRequest request) {
        state.callStarted();
        CallMetrics metrics = CallMetrics.start(parts.dependencies(), state::callEnded);
        return new CallerResponse(
                identity, request, parts.dependencies().clock(), state::isClosingConnections, metrics);
    }

    /**
     * Checks the head of a request.
     *
     * @param request the request
     * @return why it is refused, empty if it may go on
     */
    private Optional<ResultCode> checkHead(HttpServerRequest request) {
        EntrySettings.Limits limits = parts.settings().limits();
        Optional<ResultCode> refusal =
                RequestFilter.INSTANCE.checkHeaders(request.headers().entries(), limits.maximumHeaderCount());
        if (refusal.isPresent()) {
            return refusal;
        }
        Configuration configuration = parts.dependencies().configuration().current();
        if (RequestFilter.INSTANCE.hasKeyInQuery(request.query(), configuration)) {
            return Optional.of(ResultCode.KEY_IN_QUERY);
        }
        String path = request.path();
        return path != null && RequestFilter.INSTANCE.isNormalizedPath(path)
                ? Optional.empty()
                : Optional.of(ResultCode.MALFORMED_REQUEST);
    }

    /**
     * Hands a request to the handler of its path.
     *
     * @param identity the request's identity
     * @param request the request
     * @param response the response
     */
    private void route(String identity, HttpServerRequest request, CallerResponse response) {
        Optional<ApiPath> known = ApiPath.find(request.path());
        if (known.isPresent()) {
            ApiPath path = known.get();
            if (!path.method().equals(request.method())) {
                request.response().putHeader("allow", path.method().name());
                response.refuse(ResultCode.METHOD_NOT_ALLOWED);
                return;
            }
            authenticate(identity, request, response).ifPresent(call -> serve(call, path));
            return;
        }
        Configuration configuration = parts.dependencies().configuration().current();
        Optional<Route> route = RouteTable.INSTANCE.find(configuration, request.path());
        if (route.isEmpty()) {
            response.refuse(ResultCode.UNKNOWN_PATH);
        } else if (ApiPath.isNeverForwarded(request.method())) {
            response.refuse(ResultCode.METHOD_NOT_ALLOWED);
        } else {
            Optional<IncomingCall> call = route.get().open()
                    ? Optional.of(call(identity, request, response, Optional.empty()))
                    : authenticate(identity, request, response);
            call.ifPresent(
                    open -> readBody(open, (body, context) -> services.handle(open, route.get(), body, context)));
        }
    }

    /**
     * Serves a path of the product's own.
     *
     * @param call the call
     * @param path the path
     */
    private void serve(IncomingCall call, ApiPath path) {
        switch (path) {
            case MODELS -> models.listModels(call);
            case CHAT -> readBody(call, (body, context) -> models.complete(call, CompletionFormat.CHAT, body, context));
            default -> readBody(call, (body, context) -> models.complete(call, CompletionFormat.TEXT, body, context));
        }
    }

    /**
     * Authenticates a request and answers it if it is refused.
     *
     * @param identity the request's identity
     * @param request the request
     * @param response the response
     * @return the call, empty if it was refused
     */
    private Optional<IncomingCall> authenticate(String identity, HttpServerRequest request, CallerResponse response) {
        Optional<String> key = key(request);
        AuthenticationResult authentication = KeyAuthenticator.INSTANCE.authenticate(
                parts.dependencies().configuration().current(), key);
        boolean fresh = parts.dependencies()
                .configuration()
                .isFresh(parts.dependencies().clock().nanoTime());
        if (!fresh) {
            response.refuse(ResultCode.CONFIGURATION_STALE, SHORT_WAIT);
            return Optional.empty();
        }
        if (authentication instanceof AuthenticationResult.Accepted accepted) {
            return Optional.of(call(identity, request, response, Optional.of(accepted)));
        }
        response.refuse(ResultCode.KEY_REFUSED);
        return Optional.empty();
    }

    /**
     * Creates a call.
     *
     * @param identity the request's identity
     * @param request the request
     * @param response the response
     * @param caller the caller, empty on an open route
     * @return the call
     */
    private IncomingCall call(
            String identity,
            HttpServerRequest request,
            CallerResponse response,
            Optional<AuthenticationResult.Accepted> caller) {
        long now = parts.dependencies().clock().nanoTime();
        return new IncomingCall(identity, request, response, caller, key(request), now);
    }

    /**
     * Returns the key that came with a request.
     *
     * @param request the request
     * @return the key, if any
     */
    private static Optional<String> key(HttpServerRequest request) {
        return KeyAuthenticator.INSTANCE.bearerToken(request.getHeader("authorization"));
    }

    /** Takes a whole body. */
    @FunctionalInterface
    private interface BodyUse {

        /**
         * Takes the body.
         *
         * @param body the body
         * @param context the call's event loop
         */
        void accept(Buffer body, Context context);
    }

    /**
     * Reads the body within its bounds of size and time.
     *
     * @param call the call
     * @param use takes the body
     */
    private void readBody(IncomingCall call, BodyUse use) {
        Vertx vertx = parts.dependencies().vertx();
        Context context = vertx.getOrCreateContext();
        EntrySettings.Limits limits = parts.settings().limits();
        HttpServerRequest request = call.request();
        long timer = vertx.setTimer(limits.bodyTimeout().toMillis(), expired -> late(call));
        BoundedBody.read(request, limits.maximumBodyBytes())
                .onComplete(
                        body -> {
                            vertx.cancelTimer(timer);
                            call.response().runGuarded(() -> use.accept(body, context));
                        },
                        failure -> {
                            boolean large = failure instanceof BoundedBody.TooLargeException;
                            request.end().onComplete(ended -> vertx.cancelTimer(timer));
                            call.response().refuse(large ? ResultCode.BODY_TOO_LARGE : ResultCode.MALFORMED_REQUEST);
                        });
        if ("100-continue".equalsIgnoreCase(request.getHeader("expect"))) {
            request.response().writeContinue();
        }
    }

    /**
     * Ends a call whose body did not arrive in time.
     *
     * @param call the call
     */
    private static void late(IncomingCall call) {
        if (call.response().isOpen()) {
            call.response().refuse(ResultCode.MALFORMED_REQUEST, "The body did not arrive in time.");
        }
        call.request().connection().close();
    }
}
