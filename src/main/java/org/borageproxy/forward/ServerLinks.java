package org.borageproxy.forward;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.StreamDeclinedException;
import org.borageproxy.wire.StreamRefusedException;
import org.borageproxy.wire.TcpKeepAlive;
import org.borageproxy.wire.VmStreams;
import org.borageproxy.wire.proto.CoordinationProtocol.RefusalNotice;
import org.borageproxy.wire.proto.CoordinationProtocol.RelayRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The links of this VM to the backend servers, and the ways around them through other VMs. A connection that cannot be
 * opened directly is opened through another VM; a server counts as gone only if it refuses that VM as well. The links
 * count as lost if the direct connections to two servers failed, or all fell silent, and new connections to servers
 * fail; from then on connections lead through other VMs until a direct connection holds again. Without other VMs the
 * links never count as lost. Not thread safe; confined to one event loop.
 */
public final class ServerLinks {

    private static final Logger LOGGER = LoggerFactory.getLogger(ServerLinks.class);
    /** Connect timeout; covers several round trips between availability zones. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);
    /** Time after which the next way to a server is tried beside those that have not succeeded. */
    private static final Duration NEXT_WAY_DELAY = Duration.ofMillis(150);
    /** Time without any bytes of any server after which the links are probed while requests are in flight. */
    private static final Duration MAX_SILENCE = Duration.ofMillis(600);

    private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(300);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);
    /** Time for which a probe has to stay open. */
    private static final Duration PROBE_HOLD_TIME = Duration.ofMillis(200);
    /** Time between probes while the links are lost. */
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
    /** Time from a probe that held to the next one for a silence, which often has other reasons. */
    private static final Duration HELD_PROBE_VALIDITY = Duration.ofSeconds(3);
    /** Number of servers to which direct connections must fail for the links to be suspected. */
    private static final int SUSPICIOUS_FAILURES = 2;
    /** Number of other VMs through which one connection is tried. */
    private static final int MAX_RELAYS = 2;

    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final Environment environment;
    private final ServerRefusals refusals;
    private final Random random = new Random();
    /** Servers to which direct connections failed since the last byte that came over one. */
    private final Set<BackendServerName> failedServers = new HashSet<>();
    /** Direct connections that wait for an answer or a part of it. */
    private final Set<ServerConnection> waitingConnections = new LinkedHashSet<>();

    private long receivedAtNanos;
    private Deadline nextProbeAt;
    private boolean areLost;
    private boolean isProbing;
    private boolean isCheckScheduled;

    /**
     * The collaborators of the links.
     *
     * @param streams opens connections through other VMs
     * @param relays supplies the VMs that reach the servers, without this one; may be empty
     * @param servers the announced servers
     */
    public record Environment(VmStreams streams, Supplier<List<VmName>> relays, BackendServers servers) {}

    /** Receives the outcome of opening a connection. */
    interface OpenListener {

        /**
         * Called with a connection without handlers.
         *
         * @param channel the connection
         * @param relay the VM through which it leads; empty for a direct connection
         */
        void onOpened(Channel channel, Optional<VmName> relay);

        /**
         * Called if no connection could be opened.
         *
         * @param reason the reason, for logs
         * @param isRefused whether the server's address refused the connection, of another VM too if there is one
         */
        void onFailed(String reason, boolean isRefused);
    }

    /**
     * Creates links that are not lost.
     *
     * @param eventLoop the event loop of the connections and of all callers
     * @param clock the clock
     * @param environment the collaborators
     */
    public ServerLinks(EventLoop eventLoop, MonotonicClock clock, Environment environment) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.environment = environment;
        this.refusals = new ServerRefusals(clock, this::schedule, environment.servers(), this::waysInUse);
        this.receivedAtNanos = clock.nanoTime();
        this.nextProbeAt = new Deadline(receivedAtNanos);
    }

    /**
     * Returns whether this VM does not reach the servers itself.
     *
     * @return {@code true} while connections lead through other VMs
     */
    public boolean areLost() {
        return areLost;
    }

    /**
     * Returns the times until which servers want no requests over these links.
     *
     * @return the refusals, which the caller updates
     */
    public ServerRefusals refusals() {
        return refusals;
    }

    private List<Optional<VmName>> waysInUse() {
        List<VmName> relays = environment.relays().get();
        return areLost && !relays.isEmpty() ? relays.stream().map(Optional::of).toList() : List.of(Optional.empty());
    }

    /**
     * Opens a connection to a server, directly or through another VM.
     *
     * @param server the server
     * @param listener receives the outcome
     */
    void open(BackendServer server, OpenListener listener) {
        new Opening(server, listener).begin();
    }

    /**
     * Opens a connection to a server on one way only.
     *
     * @param server the server
     * @param relay the VM through which the connection must lead; empty for a direct one
     * @return a connection without handlers; fails if it cannot be opened
     */
    CompletionStage<Channel> openOn(BackendServer server, Optional<VmName> relay) {
        return relay.map(through -> openThrough(through, server))
                .orElseGet(() -> openDirectly(server, CONNECT_TIMEOUT));
    }

    /**
     * Returns whether no later incarnation of a server is known.
     *
     * @param server the server
     * @return {@code false} if the server has started again
     */
    boolean isLatestIncarnation(BackendServer server) {
        return environment.servers().current().stream()
                .noneMatch(current ->
                        current.name().equals(server.name()) && current.incarnation() > server.incarnation());
    }

    /** One connection to be opened, for which several ways are tried until one succeeds. */
    private final class Opening {
        private final BackendServer server;
        private final OpenListener listener;
        private final List<Optional<VmName>> ways = new ArrayList<>();
        private final boolean hasRelays;
        private int triedWays;
        private int failedWays;
        private boolean isDirectRefused;
        private boolean hasDirectFailed;
        private boolean isDone;
        private String lastReason = "no way";

        Opening(BackendServer server, OpenListener listener) {
            this.server = server;
            this.listener = listener;
            List<VmName> relays = new ArrayList<>(environment.relays().get());
            hasRelays = !relays.isEmpty();
            Collections.shuffle(relays, random);
            relays.stream()
                    .map(Optional::of)
                    .filter(relay -> refusals.accepts(server, relay))
                    .limit(MAX_RELAYS)
                    .forEach(ways::add);
            // The direct way is the last one while the links are lost, and the first one otherwise.
            ways.add(areLost ? ways.size() : 0, Optional.empty());
        }

        void begin() {
            tryNextWay();
            schedule(CONNECT_TIMEOUT, () -> fail("connection timed out after " + CONNECT_TIMEOUT.toMillis() + " ms"));
        }

        private void tryNextWay() {
            if (isDone || triedWays == ways.size()) {
                return;
            }
            int number = triedWays++;
            Optional<VmName> relay = ways.get(number);
            relay.map(through -> openThrough(through, server))
                    .orElseGet(() -> openDirectly(server, CONNECT_TIMEOUT))
                    .whenComplete((channel, failure) -> handle(relay, channel, failure));
            schedule(NEXT_WAY_DELAY, () -> {
                if (triedWays == number + 1) {
                    tryNextWay();
                }
            });
        }

        private void handle(Optional<VmName> relay, Channel channel, Throwable failure) {
            boolean isRelayed = relay.isPresent();
            if (failure instanceof StreamDeclinedException declined) {
                recordRefusal(relay, declined);
            }
            if (failure != null) {
                handleFailure(isRelayed, failure);
            } else if (isDone || !channel.isActive()) {
                channel.close();
                handleFailure(isRelayed, new ConnectTimeoutException("closed at once"));
            } else {
                isDone = true;
                if (isRelayed && !areLost) {
                    recordDirectFailure(server);
                }
                listener.onOpened(channel, relay);
            }
        }

        /**
         * Drops the direct way if it is the last resort since the links are lost: another VM reaches the server, which
         * only refuses its requests for a time.
         */
        private void recordRefusal(Optional<VmName> relay, StreamDeclinedException declined) {
            try {
                refusals.recordReport(RefusalNotice.parseFrom(declined.reason()), relay);
            } catch (InvalidProtocolBufferException exception) {
                LOGGER.warn("event=refusal-notice-malformed vm={}", relay.orElseThrow());
            }
            int last = ways.size() - 1;
            if (triedWays <= last && ways.get(last).isEmpty()) {
                ways.remove(last);
            }
        }

        private void handleFailure(boolean isRelayed, Throwable failure) {
            if (isDone) {
                return;
            }
            failedWays++;
            lastReason = String.valueOf(failure.getMessage());
            hasDirectFailed |= !isRelayed;
            isDirectRefused |= !isRelayed && isRefusal(failure);
            boolean isGone = isRelayed ? failure instanceof StreamRefusedException : isDirectRefused && !hasRelays;
            if (isGone && (hasDirectFailed || areLost)) {
                finish("refused: " + lastReason, true);
            } else if (failedWays == ways.size()) {
                fail(lastReason);
            } else {
                tryNextWay();
            }
        }

        private void fail(String reason) {
            finish(reason, false);
        }

        private void finish(String reason, boolean isRefused) {
            if (!isDone) {
                isDone = true;
                listener.onFailed(reason, isRefused);
            }
        }
    }

    private static boolean isRefusal(Throwable failure) {
        return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    }

    /**
     * Runs a task on the event loop.
     *
     * @param deadline the time at which it runs
     * @param task the task
     */
    void schedule(Deadline deadline, Runnable task) {
        eventLoop.schedule(task, deadline.remainingNanos(clock.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void schedule(Duration delay, Runnable task) {
        eventLoop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private CompletionStage<Channel> openThrough(VmName relay, BackendServer server) {
        RelayRequest request = RelayRequest.newBuilder()
                .setServer(server.name().value())
                .setIncarnation(server.incarnation())
                .build();
        Deadline deadline = Deadline.after(clock.nanoTime(), CONNECT_TIMEOUT);
        return environment.streams().open(relay, request.toByteString(), eventLoop, deadline);
    }

    /**
     * Opens a connection to a server from this VM.
     *
     * @param server the server
     * @return the connection, without handlers; fails with a {@link ConnectException} if it was refused
     */
    CompletionStage<Channel> openDirectly(BackendServer server) {
        return openDirectly(server, CONNECT_TIMEOUT);
    }

    private CompletableFuture<Channel> openDirectly(BackendServer server, Duration timeout) {
        CompletableFuture<Channel> opened = new CompletableFuture<>();
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .handler(new ChannelInboundHandlerAdapter())
                .connect(server.host(), server.port())
                .addListener((ChannelFuture result) -> {
                    if (result.isSuccess()) {
                        TcpKeepAlive.enable(result.channel());
                        opened.complete(result.channel());
                    } else {
                        opened.completeExceptionally(result.cause());
                    }
                });
        return opened;
    }

    /**
     * Returns whether a server that refuses connections of this VM refuses those of another one as well.
     *
     * @param server the server
     * @return {@code true} if another VM was refused, or if there is none to ask
     */
    public CompletionStage<Boolean> isRefusedElsewhere(BackendServer server) {
        List<VmName> relays = environment.relays().get();
        if (relays.isEmpty()) {
            return CompletableFuture.completedFuture(true);
        }
        return openThrough(relays.get(random.nextInt(relays.size())), server).handle((channel, failure) -> {
            if (channel != null) {
                channel.close();
            }
            return failure instanceof StreamRefusedException;
        });
    }

    /**
     * Records that a direct connection failed which a sound server would not have ended. After failures at two servers
     * the links are probed.
     *
     * @param server the server
     */
    void recordDirectFailure(BackendServer server) {
        if (!environment.relays().get().isEmpty() && failedServers.add(server.name())) {
            if (failedServers.size() >= SUSPICIOUS_FAILURES && !areLost) {
                probe();
            }
        }
    }

    private void setLost(boolean isNowLost, String reason) {
        if (areLost != isNowLost) {
            areLost = isNowLost;
            LOGGER.info("event={} reason=\"{}\"", isNowLost ? "server-links-lost" : "server-links-found", reason);
        }
    }

    /**
     * Records that a direct connection waits for an answer.
     *
     * @param connection the connection
     */
    void recordWaiting(ServerConnection connection) {
        if (waitingConnections.isEmpty()) {
            receivedAtNanos = clock.nanoTime();
        }
        waitingConnections.add(connection);
        if (!isCheckScheduled) {
            isCheckScheduled = true;
            schedule(SILENCE_CHECK_INTERVAL, this::checkSilence);
        }
    }

    /**
     * Records that a direct connection no longer waits.
     *
     * @param connection the connection
     */
    void recordEnded(ServerConnection connection) {
        waitingConnections.remove(connection);
    }

    /** Records that bytes came over a direct connection. */
    void recordReceived() {
        receivedAtNanos = clock.nanoTime();
        failedServers.clear();
    }

    private boolean areSilent() {
        return !waitingConnections.isEmpty()
                && Deadline.after(receivedAtNanos, MAX_SILENCE).hasPassed(clock.nanoTime());
    }

    private void checkSilence() {
        isCheckScheduled = !waitingConnections.isEmpty();
        if (isCheckScheduled) {
            schedule(SILENCE_CHECK_INTERVAL, this::checkSilence);
        }
        boolean mayProbe = nextProbeAt.hasPassed(clock.nanoTime());
        if (areSilent() && mayProbe && !environment.relays().get().isEmpty()) {
            probe();
        }
    }

    /** Opens direct connections to two servers; the links are lost if neither holds. */
    private void probe() {
        List<BackendServer> servers = new ArrayList<>(environment.servers().current().stream()
                .filter(server -> server.state() == BackendServerState.ALIVE)
                .toList());
        if (isProbing || servers.isEmpty()) {
            return;
        }
        isProbing = true;
        Collections.shuffle(servers, random);
        List<CompletableFuture<Boolean>> probes =
                servers.stream().limit(SUSPICIOUS_FAILURES).map(this::holds).toList();
        CompletableFuture.allOf(probes.toArray(CompletableFuture[]::new))
                .thenRun(() -> handleProbes(probes.stream().anyMatch(CompletableFuture::join)));
    }

    private CompletableFuture<Boolean> holds(BackendServer server) {
        CompletableFuture<Boolean> holds = new CompletableFuture<>();
        openDirectly(server, PROBE_TIMEOUT).whenComplete((channel, failure) -> {
            if (failure != null) {
                holds.complete(false);
            } else {
                schedule(PROBE_HOLD_TIME, () -> {
                    holds.complete(channel.isActive());
                    channel.close();
                });
            }
        });
        return holds;
    }

    private void handleProbes(boolean hasHeld) {
        isProbing = false;
        if (hasHeld) {
            nextProbeAt = Deadline.after(clock.nanoTime(), HELD_PROBE_VALIDITY);
            failedServers.clear();
            setLost(false, "a direct connection holds");
            return;
        }
        setLost(true, "no direct connection holds");
        if (areSilent()) {
            List.copyOf(waitingConnections).forEach(ServerConnection::handleLostLinks);
        }
        schedule(PROBE_INTERVAL, this::probe);
    }
}
