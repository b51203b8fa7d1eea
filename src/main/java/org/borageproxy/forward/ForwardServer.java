package org.borageproxy.forward;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.borageproxy.entry.StrictRequestDecoder;
import org.borageproxy.execution.RequestDigest;
import org.borageproxy.publication.PublishedRoute;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.publication.RequestLimits;
import org.borageproxy.publication.ServedPublication;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.time.Deadline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes callers' requests: reads them whole, finds route and workspace in the publication in force, and starts their
 * exchanges. All state belongs to one event loop, on which all methods are called.
 */
public final class ForwardServer {

    private static final Logger LOGGER = LoggerFactory.getLogger(ForwardServer.class);
    /** Seconds after which a connection without any traffic is closed; above every published idle time. */
    private static final int IDLE_SECONDS = 75;
    /** How long a caller is asked to wait while no publication is known. */
    private static final Duration PUBLICATION_WAIT = Duration.ofMillis(400);

    /** How long a caller of a VM that stops is asked to wait; another VM can take the request at once. */
    private static final Duration STOPPING_WAIT = Duration.ofMillis(20);

    private static final int BACKLOG = 1024;

    private final Vertx vertx;
    private final ForwardContext parts;
    private final Supplier<Optional<ServedPublication>> publications;
    private final RandomGenerator random;
    private HttpServer server;
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    private boolean isClosing;
    private boolean isRefusing;

    /**
     * Creates a server.
     *
     * @param vertx runs the server
     * @param parts what forwarding needs
     * @param publications returns the publication in force
     * @param random draws services by weight
     */
    public ForwardServer(
            Vertx vertx,
            ForwardContext parts,
            Supplier<Optional<ServedPublication>> publications,
            RandomGenerator random) {
        this.vertx = vertx;
        this.parts = parts;
        this.publications = publications;
        this.random = random;
    }

    /**
     * Listens for callers; called on the event loop of the requests.
     *
     * @param endpoint where to listen
     * @return completes when connections are taken
     */
    public Future<?> listen(Endpoint endpoint) {
        RequestLimits limits = RequestLimits.DEFAULT;
        HttpServerOptions options = new HttpServerOptions()
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setHttp2ClearTextEnabled(false)
                .setHandle100ContinueAutomatically(true)
                .setIdleTimeout(IDLE_SECONDS)
                .setAcceptBacklog(BACKLOG)
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true);
        server = vertx.createHttpServer(options)
                .connectionHandler(connection -> StrictRequestDecoder.install(connection, options))
                .invalidRequestHandler(ForwardServer::refuseInvalid)
                .requestHandler(this::handle);
        return server.listen();
    }

    private static void refuseInvalid(HttpServerRequest request) {
        LOGGER.info("event=request-invalid remote={}", request.remoteAddress());
        request.response()
                .putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE)
                .setStatusCode(400)
                .end()
                .onComplete(sent -> request.connection().close());
    }

    private void handle(HttpServerRequest request) {
        long arrivedAtNanos = parts.clock().nanoTime();
        if (isClosing) {
            request.response().putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
        int mostBytes = publications
                .get()
                .map(served -> served.publication().limits().maxBodyBytes())
                .orElse(RequestLimits.DEFAULT.maxBodyBytes());
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        request.exceptionHandler(failure -> LOGGER.debug("event=request-incomplete", failure));
        request.handler(chunk -> {
            if (body.size() <= mostBytes) {
                body.writeBytes(chunk.getBytes());
            }
        });
        request.endHandler(end -> {
            if (body.size() > mostBytes) {
                refuse(request, "", RefusalReason.BODY_TOO_LARGE, Optional.empty());
            } else {
                forward(request, body.toByteArray(), arrivedAtNanos);
            }
        });
    }

    private void forward(HttpServerRequest request, byte[] body, long arrivedAtNanos) {
        RequestMetadata fields = parts.protocol().parseRequest(request.headers());
        if (isRefusing) {
            refuse(request, fields.requestIdentity(), RefusalReason.STOPPING, Optional.of(STOPPING_WAIT));
            return;
        }
        Optional<ServedPublication> served = publications.get();
        if (served.isEmpty()) {
            refuse(request, fields.requestIdentity(), RefusalReason.NO_PUBLICATION, Optional.of(PUBLICATION_WAIT));
            return;
        }
        Optional<PublishedRoute> route = served.get().route(hostOf(request), pathOf(request.uri()));
        if (route.isEmpty()) {
            refuse(request, fields.requestIdentity(), RefusalReason.NO_ROUTE, Optional.empty());
            return;
        }
        Optional<PublishedWorkspace> workspace = fields.apiKey().flatMap(served.get()::workspaceOf);
        boolean needsKey = !route.get().isPublic()
                && !served.get().publication().workspaces().isEmpty();
        if (needsKey && workspace.isEmpty()) {
            refuse(request, fields.requestIdentity(), RefusalReason.KEY_REFUSED, Optional.empty());
            return;
        }
        BufferedRequest held = held(request, body, fields, served.get(), route.get(), workspace, arrivedAtNanos);
        Exchange exchange = new Exchange(parts, held, exchanges::remove);
        exchanges.add(exchange);
        exchange.start();
    }

    private BufferedRequest held(
            HttpServerRequest request,
            byte[] body,
            RequestMetadata fields,
            ServedPublication served,
            PublishedRoute route,
            Optional<PublishedWorkspace> workspace,
            long arrivedAtNanos) {
        String service = route.serviceAt(random.nextInt(route.totalWeight()));
        Deadline routeEnd = Deadline.after(arrivedAtNanos, route.timeout());
        Deadline deadline = fields.timeoutMillis().isEmpty()
                ? routeEnd
                : routeEnd.earlierOf(Deadline.after(
                        arrivedAtNanos, Duration.ofMillis(fields.timeoutMillis().getAsLong())));
        String owner = workspace.map(PublishedWorkspace::name).orElse("");
        return new BufferedRequest(
                request,
                fields,
                body,
                route,
                service,
                served.publication().enginePool(service),
                workspace,
                RequestDigest.fingerprint(owner, request.uri(), body),
                arrivedAtNanos,
                deadline);
    }

    private static void refuse(
            HttpServerRequest request, String identity, RefusalReason reason, Optional<Duration> comeBack) {
        LOGGER.info(
                "event=request-refused id={} reason={} status={} host={} uri={}",
                identity,
                reason.code(),
                reason.status(),
                hostOf(request),
                request.uri());
        Refusals.respond(request, reason, comeBack);
    }

    private static String hostOf(HttpServerRequest request) {
        String host = Optional.ofNullable(request.getHeader(HttpHeaders.HOST)).orElse("");
        int colon = host.lastIndexOf(':');
        boolean hasPort = colon > host.lastIndexOf(']');
        return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }

    private static String pathOf(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Returns the requests that have no whole answer yet; called on the event loop.
     *
     * @return the number
     */
    public int inFlight() {
        return exchanges.size();
    }

    /**
     * Asks callers to open no further requests on their connections: each is closed with its next answer. Called on the
     * event loop.
     */
    public void disableKeepAlive() {
        isClosing = true;
    }

    /**
     * Refuses further requests, and those that still wait to be sent, as not run, since they might not end before the
     * process does. Called on the event loop.
     */
    public void refuseNewRequests() {
        isRefusing = true;
        List.copyOf(exchanges).forEach(exchange -> exchange.stopIfUnsent(STOPPING_WAIT));
    }

    /**
     * Ends what is in flight: each request that has no answer yet gets one, and streams are cut. Called on the event
     * loop when the time for a shutdown is over.
     */
    public void abortInFlight() {
        List.copyOf(exchanges).forEach(exchange -> exchange.stop(STOPPING_WAIT));
    }

    /**
     * Stops listening; called on the event loop when nothing is in flight or the time for a shutdown is over.
     *
     * @return completes when the connections are closed
     */
    public Future<?> close() {
        return server == null ? Future.succeededFuture() : server.close();
    }
}
