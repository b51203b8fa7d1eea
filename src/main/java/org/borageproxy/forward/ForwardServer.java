package org.borageproxy.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
import org.borageproxy.buffer.BufferOwner;
import org.borageproxy.buffer.Reservation;
import org.borageproxy.entry.StrictRequestDecoder;
import org.borageproxy.execution.RequestDigest;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedRoute;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.publication.RequestLimits;
import org.borageproxy.publication.ServedPublication;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.time.Deadline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP server for callers. Reads each request completely, resolves its route and workspace against the publication in
 * force, and starts its exchange. Not thread safe; all methods must be called on one event loop.
 */
public final class ForwardServer {

    private static final Logger LOGGER = LoggerFactory.getLogger(ForwardServer.class);
    /** Time after which an idle connection is closed; must exceed every published idle timeout. */
    private static final int IDLE_TIMEOUT_SECONDS = 75;
    /** Retry-after time while no publication is available. */
    private static final Duration NO_PUBLICATION_RETRY_AFTER = Duration.ofMillis(400);

    /** Deadline of a body whose request matches no route and states no time. */
    private static final Duration DEFAULT_BODY_TIMEOUT = Duration.ofSeconds(60);
    /**
     * Send buffer of a caller's connection, which the kernel doubles. It bounds the kernel memory of slow callers and
     * suffices for 10 MB/s at a round trip of 6 ms.
     */
    private static final int SEND_BUFFER_BYTES = 32 << 10;

    private static final int ACCEPT_BACKLOG = 1024;
    /** Maximum number of reads from one connection before others are read. */
    private static final int MAX_READS_PER_TURN = 16;

    private final Vertx vertx;
    private final ForwardContext context;
    private final Supplier<Optional<ServedPublication>> publications;
    private final BooleanSupplier isPublicationCurrent;
    private final BooleanSupplier isPublicationOverdue;
    private final RandomGenerator random;
    private HttpServer server;
    /** The exchanges in flight and their requests. */
    private final Map<Exchange, HttpServerRequest> exchanges = new LinkedHashMap<>();

    private final Set<Channel> channels = new HashSet<>();
    /** When requests in flight are aborted; empty unless this VM stops. */
    private Optional<Deadline> answersEnd = Optional.empty();

    private boolean isRefusingNewRequests;

    /**
     * Creates a server.
     *
     * @param vertx runs the server
     * @param context the collaborators of forwarding
     * @param publications supplies the publication in force; empty until one is available
     * @param isPublicationCurrent whether no newer publication can be due; otherwise a request that the one in force
     *     does not allow may be allowed elsewhere
     * @param random the source for draws of services by weight
     */
    public ForwardServer(
            Vertx vertx,
            ForwardContext context,
            Supplier<Optional<ServedPublication>> publications,
            BooleanSupplier isPublicationCurrent,
            RandomGenerator random) {
        this(vertx, context, publications, isPublicationCurrent, () -> false, random);
    }

    /**
     * Creates a server that refuses requests while a newer publication is overdue.
     *
     * @param vertx runs the server
     * @param context the collaborators of forwarding
     * @param publications supplies the publication in force; empty until one is available
     * @param isPublicationCurrent whether no newer publication can be due; otherwise a request that the one in force
     *     does not allow may be allowed elsewhere
     * @param isPublicationOverdue whether a newer publication is known that should be in force by now; it may not allow
     *     what the one in force does
     * @param random the source for draws of services by weight
     */
    public ForwardServer(
            Vertx vertx,
            ForwardContext context,
            Supplier<Optional<ServedPublication>> publications,
            BooleanSupplier isPublicationCurrent,
            BooleanSupplier isPublicationOverdue,
            RandomGenerator random) {
        this.vertx = vertx;
        this.context = context;
        this.publications = publications;
        this.isPublicationCurrent = isPublicationCurrent;
        this.isPublicationOverdue = isPublicationOverdue;
        this.random = random;
    }

    /**
     * Returns the number of open connections of callers.
     *
     * @return the number
     */
    public int connectionCount() {
        return channels.size();
    }

    /**
     * Returns the number of connections with bytes that the kernel has not taken.
     *
     * @return the number
     */
    public int unsentConnectionCount() {
        int count = 0;
        for (Channel channel : channels) {
            ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
            if (unsent != null && unsent.totalPendingWriteBytes() > 0) {
                count++;
            }
        }
        return count;
    }

    /**
     * Starts to listen for callers.
     *
     * @param endpoint the address to listen on
     * @return completes when connections are accepted; fails if the address cannot be bound
     */
    public Future<?> listen(Endpoint endpoint) {
        RequestLimits limits = RequestLimits.DEFAULT;
        HttpServerOptions options = new HttpServerOptions()
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setHttp2ClearTextEnabled(false)
                // Each protocol that callers do not use adds a handler that every part of an answer passes.
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false)
                .setHandle100ContinueAutomatically(true)
                .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setSendBufferSize(SEND_BUFFER_BYTES)
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true);
        server = vertx.createHttpServer(options)
                .connectionHandler(connection -> {
                    StrictRequestDecoder.install(connection, options, this::headDeadline, context.clock());
                    readToTheEnd(connection);
                    Channel channel = channelOf(connection);
                    channels.add(channel);
                    connection.closeHandler(closed -> channels.remove(channel));
                })
                .invalidRequestHandler(ForwardServer::refuseInvalid)
                .requestHandler(this::handle);
        return server.listen();
    }

    private Deadline headDeadline(long nowNanos) {
        return Deadline.after(nowNanos, limits().headerTimeout());
    }

    private RequestLimits limits() {
        return publications.get().map(served -> served.publication().limits()).orElse(RequestLimits.DEFAULT);
    }

    /** Makes each turn of the event loop also read the end of a connection that directly follows a request. */
    private static void readToTheEnd(HttpConnection connection) {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MAX_READS_PER_TURN);
        channelOf(connection).config().setRecvByteBufAllocator(allocator.respectMaybeMoreData(false));
    }

    /** Returns the channel of a caller's connection. */
    static Channel channelOf(HttpConnection connection) {
        return ((ConnectionBase) connection).channel();
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
        long arrivedAtNanos = context.clock().nanoTime();
        if (answersEnd.isPresent()) {
            request.response().putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
        int maximumBytes = limits().maxBodyBytes();
        RequestMetadata fields = context.protocol().parseRequest(request.headers());
        BodyReader.read(
                context,
                request,
                fields.requestIdentity(),
                ownerOf(request, fields, arrivedAtNanos),
                maximumBytes,
                new BodyReader.Listener() {
                    @Override
                    public void onBody(byte[] body, Reservation reservation) {
                        if (!forward(request, fields, body, arrivedAtNanos, reservation)) {
                            reservation.release();
                        }
                    }

                    @Override
                    public void onRefused(RefusalReason reason, Optional<Duration> retryAfter) {
                        refuse(request, fields.requestIdentity(), reason, retryAfter);
                    }
                });
    }

    private BufferOwner ownerOf(HttpServerRequest request, RequestMetadata fields, long arrivedAtNanos) {
        Optional<ServedPublication> served = publications.get();
        Optional<PublishedRoute> route = served.flatMap(each -> each.route(hostOf(request), pathOf(request.uri())));
        Optional<PublishedWorkspace> workspace =
                served.flatMap(each -> fields.apiKey().flatMap(each::workspaceOf));
        Duration timeout = route.map(PublishedRoute::timeout).orElse(DEFAULT_BODY_TIMEOUT);
        return BufferedRequest.ownerOf(request, fields, workspace, route, deadline(fields, timeout, arrivedAtNanos));
    }

    private static Deadline deadline(RequestMetadata fields, Duration routeTimeout, long arrivedAtNanos) {
        Deadline routeEnd = Deadline.after(arrivedAtNanos, routeTimeout);
        return fields.timeoutMillis().isEmpty()
                ? routeEnd
                : routeEnd.earlierOf(Deadline.after(
                        arrivedAtNanos, Duration.ofMillis(fields.timeoutMillis().getAsLong())));
    }

    /** Starts the exchange of a request, which releases the reservation, or refuses it and returns {@code false}. */
    private boolean forward(
            HttpServerRequest request,
            RequestMetadata fields,
            byte[] body,
            long arrivedAtNanos,
            Reservation reservation) {
        if (isRefusingNewRequests) {
            refuseSinceStopping(request, fields.requestIdentity());
            return false;
        }
        if (answersEnd.isPresent()) {
            // The head may have been read before the stop.
            request.response().putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
        Optional<ServedPublication> served = publications.get();
        if (served.isEmpty()) {
            refuse(
                    request,
                    fields.requestIdentity(),
                    RefusalReason.NO_PUBLICATION,
                    Optional.of(NO_PUBLICATION_RETRY_AFTER));
            return false;
        }
        if (isPublicationOverdue.getAsBoolean()) {
            refuseSinceOldPublication(request, fields.requestIdentity());
            return false;
        }
        Optional<PublishedRoute> route = served.get().route(hostOf(request), pathOf(request.uri()));
        if (route.isEmpty()) {
            refuseByPublication(request, fields.requestIdentity(), RefusalReason.NO_ROUTE);
            return false;
        }
        Optional<PublishedWorkspace> workspace = fields.apiKey().flatMap(served.get()::workspaceOf);
        boolean needsKey = !route.get().isPublic()
                && !served.get().publication().workspaces().isEmpty();
        if (needsKey && workspace.isEmpty()) {
            refuseByPublication(request, fields.requestIdentity(), RefusalReason.KEY_REFUSED);
            return false;
        }
        BufferedRequest buffered = bufferedRequest(
                request, body, fields, served.get(), route.get(), workspace, arrivedAtNanos, reservation);
        if (answersEnd
                .filter(end -> !buffered.mayBeAnsweredBy(end, context.clock().nanoTime()))
                .isPresent()) {
            refuseSinceStopping(request, fields.requestIdentity());
            return false;
        }
        Exchange exchange = createExchange(buffered, served.get().publication());
        // Runs after the read, which ends with the end of the connection if the caller has left already.
        context.eventLoop().execute(() -> {
            if (channelOf(request.connection()).isOpen()) {
                exchange.start();
            } else {
                exchange.handleCallerLeft();
            }
        });
        return true;
    }

    private Exchange createExchange(BufferedRequest buffered, Publication publication) {
        Exchange created = new Exchange(context, buffered, exchanges::remove, (drawn, origin) -> {
            exchanges.remove(drawn);
            createExchange(buffered.inService(origin.service(), publication), publication)
                    .start(origin);
        });
        exchanges.put(created, buffered.request());
        return created;
    }

    private static void refuseSinceStopping(HttpServerRequest request, String identity) {
        refuse(request, identity, RefusalReason.STOPPING, Optional.of(Refusals.STOPPING_RETRY_AFTER));
    }

    /** Refuses a request for good, or until it is known whether a newer publication allows it. */
    private void refuseByPublication(HttpServerRequest request, String identity, RefusalReason reason) {
        if (isPublicationCurrent.getAsBoolean()) {
            refuse(request, identity, reason, Optional.empty());
        } else {
            refuseSinceOldPublication(request, identity);
        }
    }

    private static void refuseSinceOldPublication(HttpServerRequest request, String identity) {
        refuse(request, identity, RefusalReason.OLD_PUBLICATION, Optional.of(NO_PUBLICATION_RETRY_AFTER));
    }

    private BufferedRequest bufferedRequest(
            HttpServerRequest request,
            byte[] body,
            RequestMetadata fields,
            ServedPublication served,
            PublishedRoute route,
            Optional<PublishedWorkspace> workspace,
            long arrivedAtNanos,
            Reservation reservation) {
        String service = route.serviceAt(random.nextInt(route.totalWeight()));
        String owner = workspace.map(PublishedWorkspace::name).orElse("");
        return new BufferedRequest(
                request,
                fields,
                new RequestBody(body, reservation),
                route,
                service,
                served.publication().enginePool(service),
                served.publication().identityPath(service),
                workspace,
                CrashSuspects.of(
                        RequestDigest.fingerprint(owner, request.uri(), body),
                        service,
                        fields.work().map(EngineWork::promptParts).orElse(List.of())),
                arrivedAtNanos,
                deadline(fields, route.timeout(), arrivedAtNanos));
    }

    private static void refuse(
            HttpServerRequest request, String identity, RefusalReason reason, Optional<Duration> retryAfter) {
        LOGGER.info(
                "event=request-refused id={} reason={} status={} host={} uri={}",
                identity,
                reason.code(),
                reason.status(),
                hostOf(request),
                request.uri());
        Refusals.respond(request, reason, retryAfter);
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
     * Returns the number of requests in flight.
     *
     * @return the number of requests that were read completely and have no complete answer yet
     */
    public int inFlight() {
        return exchanges.size();
    }

    /**
     * Begins to stop: each connection is closed after its next answer, so that callers send no further requests on it,
     * and requests are refused that can hardly be answered in time.
     *
     * @param newAnswersEnd when requests in flight are aborted
     */
    public void beginStop(Deadline newAnswersEnd) {
        answersEnd = Optional.of(newAnswersEnd);
        exchanges.values().stream()
                .map(HttpServerRequest::response)
                .filter(response -> !response.headWritten())
                .forEach(response -> response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE));
    }

    /**
     * Refuses new requests, and those that no server can have started, as not run, since they might not complete before
     * the process exits. Requests in flight are sent again only if that may still bring an answer.
     */
    public void refuseNewRequests() {
        isRefusingNewRequests = true;
        List.copyOf(exchanges.keySet()).forEach(exchange -> exchange.beginStop(answersEnd.orElseThrow()));
    }

    /**
     * Ends all requests in flight when the shutdown period is over: answers that have begun are aborted, and all other
     * requests are refused.
     */
    public void abortInFlight() {
        isRefusingNewRequests = true;
        List.copyOf(exchanges.keySet()).forEach(Exchange::stop);
    }

    /**
     * Stops listening and closes the connections. Requests in flight must have ended or been aborted.
     *
     * @return completes when the connections are closed; at once if the server never listened
     */
    public Future<?> close() {
        return server == null ? Future.succeededFuture() : server.close();
    }
}
