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

/**
 * Validates and authenticates requests of callers and routes them to the handler of their path. Safe for use by any
 * event loop.
 */
final class EntryHandler implements Handler<HttpServerRequest> {

    /** The retry delay reported while the configuration is stale or this VM is shutting down. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final EntryComponents components;
    private final DrainState state;
    private final ModelHandler modelHandler;
    private final ServiceHandler serviceHandler;
    private final HealthHandler healthHandler;

    EntryHandler(EntryComponents components, DrainState state) {
        this.components = components;
        this.state = state;
        this.modelHandler = new ModelHandler(components);
        this.serviceHandler = new ServiceHandler(components);
        this.healthHandler = new HealthHandler(components, state);
    }

    @Override
    public void handle(HttpServerRequest request) {
        if (healthHandler.isHealthPath(request)) {
            healthHandler.handle(request);
            return;
        }
        String identity = UUID.randomUUID().toString();
        CallerResponse response = createResponse(identity, request);
        if (state.phase() == DrainState.Phase.REFUSING) {
            response.refuse(ResultCode.SHUTTING_DOWN, RETRY_DELAY);
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
     * Refuses a request whose head could not be decoded.
     *
     * @param request the request
     */
    void handleInvalid(HttpServerRequest request) {
        CallerResponse response = createResponse(UUID.randomUUID().toString(), request);
        Throwable cause = request.decoderResult().cause();
        boolean ambiguous = cause instanceof AmbiguousFramingException
                || String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT).contains("content-length");
        request.response().putHeader("connection", "close");
        response.refuse(ambiguous ? ResultCode.AMBIGUOUS_FRAMING : ResultCode.MALFORMED_REQUEST);
        request.connection().close();
    }

    /**
     * Creates the response to a call, which counts as in flight until its result is recorded.
     *
     * @param identity the request ID
     * @param request the request
     * @return the response
     */
    private CallerResponse createResponse(String identity, HttpServerRequest request) {
        state.callStarted();
        CallMetrics metrics = CallMetrics.start(components.dependencies(), state::callEnded);
        return new CallerResponse(
                identity, request, components.dependencies().clock(), state::isClosingConnections, metrics);
    }

    private Optional<ResultCode> checkHead(HttpServerRequest request) {
        EntrySettings.Limits limits = components.settings().limits();
        Optional<ResultCode> refusal =
                RequestFilter.INSTANCE.checkHeaders(request.headers().entries(), limits.maximumHeaderCount());
        if (refusal.isPresent()) {
            return refusal;
        }
        Configuration configuration = components.dependencies().configuration().current();
        if (RequestFilter.INSTANCE.hasKeyInQuery(request.query(), configuration)) {
            return Optional.of(ResultCode.KEY_IN_QUERY);
        }
        String path = request.path();
        return path != null && RequestFilter.INSTANCE.isNormalizedPath(path)
                ? Optional.empty()
                : Optional.of(ResultCode.MALFORMED_REQUEST);
    }

    private void route(String identity, HttpServerRequest request, CallerResponse response) {
        Optional<ApiPath> apiPath = ApiPath.find(request.path());
        if (apiPath.isPresent()) {
            ApiPath path = apiPath.get();
            if (!path.method().equals(request.method())) {
                request.response().putHeader("allow", path.method().name());
                response.refuse(ResultCode.METHOD_NOT_ALLOWED);
                return;
            }
            authenticate(identity, request, response).ifPresent(call -> serve(call, path));
            return;
        }
        Configuration configuration = components.dependencies().configuration().current();
        Optional<Route> route = RouteTable.INSTANCE.find(configuration, request.path());
        if (route.isEmpty()) {
            response.refuse(ResultCode.UNKNOWN_PATH);
        } else if (ApiPath.isNeverForwarded(request.method())) {
            response.refuse(ResultCode.METHOD_NOT_ALLOWED);
        } else {
            Optional<IncomingCall> call = route.get().isPublic()
                    ? Optional.of(createCall(identity, request, response, Optional.empty()))
                    : authenticate(identity, request, response);
            call.ifPresent(accepted ->
                    readBody(accepted, (body, context) -> serviceHandler.handle(accepted, route.get(), body, context)));
        }
    }

    private void serve(IncomingCall call, ApiPath path) {
        switch (path) {
            case MODELS -> modelHandler.listModels(call);
            case CHAT ->
                readBody(call, (body, context) -> modelHandler.complete(call, CompletionFormat.CHAT, body, context));
            default ->
                readBody(call, (body, context) -> modelHandler.complete(call, CompletionFormat.TEXT, body, context));
        }
    }

    /**
     * Authenticates a request and responds to a refused one.
     *
     * @param identity the request ID
     * @param request the request
     * @param response the response
     * @return the call, empty if the request was refused
     */
    private Optional<IncomingCall> authenticate(String identity, HttpServerRequest request, CallerResponse response) {
        Optional<String> key = bearerKey(request);
        AuthenticationResult authentication = KeyAuthenticator.INSTANCE.authenticate(
                components.dependencies().configuration().current(), key);
        boolean fresh = components
                .dependencies()
                .configuration()
                .isFresh(components.dependencies().clock().nanoTime());
        if (!fresh) {
            response.refuse(ResultCode.CONFIGURATION_STALE, RETRY_DELAY);
            return Optional.empty();
        }
        if (authentication instanceof AuthenticationResult.Accepted accepted) {
            return Optional.of(createCall(identity, request, response, Optional.of(accepted)));
        }
        response.refuse(ResultCode.KEY_REFUSED);
        return Optional.empty();
    }

    private IncomingCall createCall(
            String identity,
            HttpServerRequest request,
            CallerResponse response,
            Optional<AuthenticationResult.Accepted> caller) {
        long now = components.dependencies().clock().nanoTime();
        return new IncomingCall(identity, request, response, caller, bearerKey(request), now);
    }

    private static Optional<String> bearerKey(HttpServerRequest request) {
        return KeyAuthenticator.INSTANCE.bearerToken(request.getHeader("authorization"));
    }

    /** Handles a complete body. */
    @FunctionalInterface
    private interface BodyConsumer {

        void accept(Buffer body, Context context);
    }

    /**
     * Reads the body within the size and time limits.
     *
     * @param call the call
     * @param consumer handles the body on the event loop of the call
     */
    private void readBody(IncomingCall call, BodyConsumer consumer) {
        Vertx vertx = components.dependencies().vertx();
        Context context = vertx.getOrCreateContext();
        EntrySettings.Limits limits = components.settings().limits();
        HttpServerRequest request = call.request();
        long timer = vertx.setTimer(limits.bodyTimeout().toMillis(), expired -> onBodyTimeout(call));
        BoundedBody.read(request, limits.maximumBodyBytes())
                .onComplete(
                        body -> {
                            vertx.cancelTimer(timer);
                            call.response().runGuarded(() -> consumer.accept(body, context));
                        },
                        failure -> {
                            boolean tooLarge = failure instanceof BoundedBody.TooLargeException;
                            request.end().onComplete(ended -> vertx.cancelTimer(timer));
                            call.response().refuse(tooLarge ? ResultCode.BODY_TOO_LARGE : ResultCode.MALFORMED_REQUEST);
                        });
        if ("100-continue".equalsIgnoreCase(request.getHeader("expect"))) {
            request.response().writeContinue();
        }
    }

    private static void onBodyTimeout(IncomingCall call) {
        if (call.response().isOpen()) {
            call.response().refuse(ResultCode.MALFORMED_REQUEST, "The body did not arrive in time.");
        }
        call.request().connection().close();
    }
}
