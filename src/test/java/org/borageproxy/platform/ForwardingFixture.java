package org.borageproxy.platform;

import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.internal.ContextInternal;
import io.vertx.core.internal.VertxInternal;
import org.borageproxy.buffer.BufferAccount;
import org.borageproxy.buffer.BufferLimits;
import org.borageproxy.execution.RetryBudget;
import org.borageproxy.forward.CrashSuspects;
import org.borageproxy.forward.ForwardContext;
import org.borageproxy.forward.ForwardMetrics;
import org.borageproxy.forward.ForwardServer;
import org.borageproxy.forward.NeverQuarantined;
import org.borageproxy.forward.ServerConnectionPool;
import org.borageproxy.forward.ServerLinks;
import org.borageproxy.forward.ServerPool;
import org.borageproxy.forward.SlotClient;
import org.borageproxy.forward.StreamOriginClient;
import org.borageproxy.forward.StreamOrigins;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedRoute;
import org.borageproxy.publication.PublishedService;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.publication.Repeatability;
import org.borageproxy.publication.RequestLimits;
import org.borageproxy.publication.ServedPublication;
import org.borageproxy.quota.RateShares;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.VmStreams;

/**
 * A forwarding server without coordinator and other VMs, with small buffers. Keys {@code key-w} and {@code key-v}
 * belong to the workspaces {@code w} and {@code v}. Thread safe.
 */
final class ForwardingFixture implements AutoCloseable {

    private static final String OTHER_SERVICE = "t";
    private static final EnginePool ENGINES = new EnginePool(64, 100_000, 2, 200_000, 8, 2, Map.of());

    private final List<BackendServer> servers = new CopyOnWriteArrayList<>();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final ContextInternal context = ((VertxInternal) vertx).createEventLoopContext();
    private final AtomicBoolean isPublicationCurrent = new AtomicBoolean(true);
    private final AtomicBoolean isPublicationOverdue = new AtomicBoolean();
    private final BufferAccount buffers;
    private final ForwardServer forwarding;
    private final int port;

    private enum NoNetwork implements VmNetwork {
        INSTANCE;

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            throw new AssertionError("sent a message: " + kind);
        }

        @Override
        public CompletionStage<ByteString> request(
                VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
            throw new AssertionError("sent a request: " + kind);
        }

        @Override
        public void registerHandler(MessageKind kind, Handler handler) {
            throw new AssertionError("registered a handler: " + kind);
        }
    }

    private enum NoStreams implements VmStreams {
        INSTANCE;

        @Override
        public CompletionStage<Channel> open(
                VmName recipient, ByteString request, EventLoop eventLoop, Deadline deadline) {
            throw new AssertionError("opened a stream");
        }

        @Override
        public void acceptStreams(Acceptor acceptor) {
            throw new AssertionError("accepts streams");
        }
    }

    private enum NoSuspects implements NeverQuarantined {
        INSTANCE;

        @Override
        public void reportConnectionLoss(CrashSuspects suspects, BackendServer server) {
            // Crashes are not the subject of these tests.
        }

        @Override
        public void reportHarmless(CrashSuspects suspects) {
            // Crashes are not the subject of these tests.
        }
    }

    ForwardingFixture(BufferLimits limits, Duration routeTimeout) throws Exception {
        this(limits, routeTimeout, MonotonicClock.ofSystem(), NoNetwork.INSTANCE, Optional.empty());
    }

    /**
     * Starts a forwarding server.
     *
     * @param network transports the requests for slots
     * @param coordinator the coordinator, which grants slots at the servers, engines in this case; empty for none
     */
    ForwardingFixture(
            BufferLimits limits,
            Duration routeTimeout,
            MonotonicClock clock,
            VmNetwork network,
            Optional<VmName> coordinator)
            throws Exception {
        buffers = new BufferAccount(limits, clock);
        ServerLinks links = new ServerLinks(
                context.nettyEventLoop(),
                clock,
                new ServerLinks.Environment(NoStreams.INSTANCE, List::of, () -> List.copyOf(servers)));
        ForwardContext forwardContext = new ForwardContext(
                context.nettyEventLoop(),
                clock,
                new PlatformHeaders(),
                new ServerPool(() -> List.copyOf(servers), clock, BackendServerFixture.ZONE, new Random(1), () -> 1),
                new SlotClient(network, () -> coordinator, BackendServerFixture.ZONE, clock, context.nettyEventLoop()),
                new StreamOriginClient(
                        new StreamOrigins(clock), NoNetwork.INSTANCE, Optional::empty, clock, context.nettyEventLoop()),
                new ServerConnectionPool(links, clock),
                new RateShares(clock.nanoTime(), new Random(1), () -> 1),
                service -> new RetryBudget(1, 100),
                NoSuspects.INSTANCE,
                buffers,
                ForwardMetrics.NoOp.INSTANCE);
        ServedPublication served = new ServedPublication(publication(routeTimeout, coordinator.map(vm -> ENGINES)));
        forwarding = new ForwardServer(
                vertx,
                forwardContext,
                () -> Optional.of(served),
                isPublicationCurrent::get,
                isPublicationOverdue::get,
                new Random(1));
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        CompletableFuture<Object> listening = new CompletableFuture<>();
        context.runOnContext(nothing ->
                forwarding.listen(new Endpoint("127.0.0.1", port)).onComplete(result -> listening.complete(result)));
        listening.get(10, TimeUnit.SECONDS);
    }

    private static Publication publication(Duration routeTimeout, Optional<EnginePool> engines) {
        return new Publication(
                1,
                List.of(
                        route("/safe/", Repeatability.IDEMPOTENT, routeTimeout, 2, "s"),
                        route("/once/", Repeatability.ONCE, routeTimeout, 2, "s"),
                        route("/stream/", Repeatability.STREAM, routeTimeout, 2, "s"),
                        route("/resume/", Repeatability.RESUMABLE_STREAM, routeTimeout, 3, "s"),
                        route("/other/", Repeatability.ONCE, routeTimeout, 2, OTHER_SERVICE)),
                Map.of(
                        "s",
                        ScriptedServer.service(engines),
                        OTHER_SERVICE,
                        new PublishedService(OTHER_SERVICE, 100, Optional.empty())),
                Map.of(
                        "w", new PublishedWorkspace("w", Set.of("key-w"), 0, 0, 0, 1),
                        "v", new PublishedWorkspace("v", Set.of("key-v"), 0, 0, 0, 1)),
                RequestLimits.DEFAULT);
    }

    private static PublishedRoute route(
            String prefix, Repeatability repeatability, Duration timeout, int maxAttempts, String service) {
        return new PublishedRoute(
                prefix,
                "host.example",
                prefix,
                repeatability,
                timeout,
                Duration.ofSeconds(1),
                Duration.ZERO,
                1,
                List.of(new PublishedRoute.WeightedService(service, 1)),
                maxAttempts,
                false);
    }

    void addServer(int serverPort) {
        servers.add(BackendServerFixture.service("r" + servers.size(), serverPort));
    }

    /** Removes all servers, as if they were no longer announced. */
    void removeServers() {
        servers.clear();
    }

    /** Adds a server of the service of the route {@code /other/}. */
    void addOtherServer(int serverPort) {
        BackendServer server = BackendServerFixture.service("r" + servers.size(), serverPort);
        servers.add(new BackendServer(
                server.name(),
                server.incarnation(),
                server.sequence(),
                server.kind(),
                server.state(),
                server.zone(),
                server.host(),
                server.port(),
                server.checksFencing(),
                Set.of(OTHER_SERVICE),
                server.accelerators(),
                server.models(),
                server.localWeights(),
                server.softwareVersion(),
                server.load()));
    }

    /** Sets whether a newer publication than the one in force cannot be due. */
    void setPublicationCurrent(boolean isCurrent) {
        isPublicationCurrent.set(isCurrent);
    }

    /** Sets whether a newer publication is known that should be in force. */
    void setPublicationOverdue(boolean isOverdue) {
        isPublicationOverdue.set(isOverdue);
    }

    int port() {
        return port;
    }

    BufferAccount buffers() {
        return buffers;
    }

    /** Runs a task on the event loop, after those that wait there. */
    void execute(Runnable task) {
        context.nettyEventLoop().execute(task);
    }

    /** Runs a task on the event loop and returns its result. */
    <T> T onEventLoop(Callable<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        context.runOnContext(nothing -> {
            try {
                result.complete(task.call());
            } catch (Exception exception) {
                result.completeExceptionally(exception);
            }
        });
        return result.get(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
}
