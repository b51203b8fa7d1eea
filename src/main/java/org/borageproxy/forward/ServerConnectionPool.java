package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpClientCodec;
import org.borageproxy.answer.AnswerGuard;
import org.borageproxy.answer.AnswerReader;
import org.borageproxy.liveness.EndConfirmation;
import org.borageproxy.liveness.IdentityCheck;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;

/**
 * Pool of connections to backend servers, by server and incarnation. The most recently used idle connection is reused
 * first. A connection whose last exchange did not complete cleanly is never reused. Not thread safe; confined to one
 * event loop.
 */
public final class ServerConnectionPool {

    private static final int MAX_IDLE_PER_SERVER = 64;
    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 << 10;
    /**
     * Largest read of a connection before the others have their turn. A faulty server that sends without end in chunks
     * of one byte otherwise keeps the event loop busy for seconds.
     */
    private static final int MAX_READ_BYTES = 16 << 10;

    private final ServerLinks links;
    private final MonotonicClock clock;
    private final Map<Destination, Deque<ServerConnection>> idle = new HashMap<>();
    private long openedCount;
    private long confirmedEndCount;
    private long unconfirmedEndCount;

    private record Destination(BackendServerName server, long incarnation) {}

    /** Receives a connection or the failure to open one. */
    interface ConnectListener {

        /**
         * Called with a connection.
         *
         * @param connection an open connection, without an exchange
         */
        void onConnected(ServerConnection connection);

        /**
         * Called if no connection could be opened.
         *
         * @param reason the reason, for logs
         * @param isRefused {@code true} if the server's address refused the connection, as when nothing listens there;
         *     {@code false} after a timeout or another failure
         */
        void onUnreachable(String reason, boolean isRefused);
    }

    /**
     * Creates an empty pool.
     *
     * @param links opens the connections, on the event loop of all callers
     * @param clock the clock
     */
    public ServerConnectionPool(ServerLinks links, MonotonicClock clock) {
        this.links = links;
        this.clock = clock;
    }

    /**
     * Acquires an idle connection or opens a new one.
     *
     * @param server the server
     * @param mayUse tests whether an idle connection may be used
     * @param listener receives the outcome, possibly before this method returns
     */
    void connect(BackendServer server, Predicate<ServerConnection> mayUse, ConnectListener listener) {
        takeIdle(destination(server), mayUse).ifPresentOrElse(listener::onConnected, () -> open(server, listener));
    }

    private Optional<ServerConnection> takeIdle(Destination destination, Predicate<ServerConnection> mayUse) {
        Iterator<ServerConnection> connections =
                idle.getOrDefault(destination, new ArrayDeque<>()).iterator();
        while (connections.hasNext()) {
            ServerConnection connection = connections.next();
            if (!connection.isUsable(clock.nanoTime())) {
                connections.remove();
                connection.close();
            } else if (connection.isReachable() && mayUse.test(connection)) {
                connections.remove();
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private void open(BackendServer server, ConnectListener listener) {
        openedCount++;
        links.open(server, new ServerLinks.OpenListener() {
            @Override
            public void onOpened(Channel channel, Optional<VmName> relay) {
                listener.onConnected(createConnection(channel, server, relay));
            }

            @Override
            public void onFailed(String reason, boolean isRefused) {
                listener.onUnreachable(reason, isRefused);
            }
        });
    }

    /** Creates a connection that refers to no request, since it may lie idle for long after its first one. */
    private ServerConnection createConnection(Channel channel, BackendServer server, Optional<VmName> relay) {
        Destination destination = destination(server);
        InputEnd inputEnd = new InputEnd();
        AnswerGuard guard = new AnswerGuard();
        ServerConnection.Environment environment = new ServerConnection.Environment(
                clock, used -> returnIdle(destination, used), links, check -> confirmEnd(server, relay, check));
        ServerConnection connection = new ServerConnection(environment, server, relay, inputEnd, guard);
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        channel.config()
                .setOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1));
        channel.pipeline()
                .addLast(inputEnd)
                .addLast(guard)
                .addLast(new HttpClientCodec(AnswerReader.MAX_LINE_BYTES, AnswerReader.MAX_HEAD_BYTES, MAX_CHUNK_BYTES))
                .addLast(connection);
        return connection;
    }

    /** Confirms that a server still runs after it has ended a connection. */
    private CompletionStage<Void> confirmEnd(BackendServer server, Optional<VmName> relay, IdentityCheck check) {
        if (!links.refusals().accepts(server, relay)) {
            return CompletableFuture.failedFuture(new IllegalStateException("server wants no requests of this VM"));
        }
        return new EndConfirmation(server, relay, check, new ConfirmationEnvironment(server)).begin();
    }

    private final class ConfirmationEnvironment implements EndConfirmation.Environment {
        private final BackendServer server;

        ConfirmationEnvironment(BackendServer server) {
            this.server = server;
        }

        @Override
        public Optional<EndConfirmation.Link> takeIdle(Optional<VmName> relay) {
            return ServerConnectionPool.this
                    .takeIdle(
                            destination(server),
                            idleConnection -> idleConnection.relay().equals(relay))
                    .map(IdentityExchange::new);
        }

        @Override
        public CompletionStage<EndConfirmation.Link> open(Optional<VmName> relay) {
            openedCount++;
            return links.openOn(server, relay)
                    .thenApply(channel -> new IdentityExchange(createConnection(channel, server, relay)));
        }

        @Override
        public void recordRefusal(Optional<VmName> relay, Duration time) {
            links.refusals().recordAnswer(server, relay, time);
        }

        @Override
        public boolean isLatestIncarnation() {
            return links.isLatestIncarnation(server);
        }

        @Override
        public long nanoTime() {
            return clock.nanoTime();
        }

        @Override
        public void schedule(Deadline deadline, Runnable task) {
            links.schedule(deadline, task);
        }

        @Override
        public void record(boolean isConfirmed, long nanos) {
            if (isConfirmed) {
                confirmedEndCount++;
            } else {
                unconfirmedEndCount++;
            }
        }
    }

    /**
     * Returns the links to the servers.
     *
     * @return the links of this VM
     */
    public ServerLinks links() {
        return links;
    }

    private void returnIdle(Destination destination, ServerConnection connection) {
        Deque<ServerConnection> idleConnections = idle.computeIfAbsent(destination, key -> new ArrayDeque<>());
        if (idleConnections.size() >= MAX_IDLE_PER_SERVER) {
            idleConnections.removeLast().close();
        }
        idleConnections.push(connection);
    }

    /**
     * Closes the idle connections to incarnations of servers that no longer exist.
     *
     * @param isCurrent tests whether an incarnation of a server is current
     */
    public void closeObsolete(BiPredicate<BackendServerName, Long> isCurrent) {
        idle.entrySet().removeIf(entry -> {
            boolean isObsolete =
                    !isCurrent.test(entry.getKey().server(), entry.getKey().incarnation());
            if (isObsolete) {
                entry.getValue().forEach(ServerConnection::close);
            }
            return isObsolete;
        });
    }

    /**
     * Returns the number of connections that were opened, including failed attempts.
     *
     * @return the number since the creation of the pool
     */
    public long openedCount() {
        return openedCount;
    }

    /**
     * Returns the number of answers without a length whose end the server has confirmed.
     *
     * @return the number since the creation of the pool
     */
    public long confirmedEndCount() {
        return confirmedEndCount;
    }

    /**
     * Returns the number of answers without a length that ended in order and count as cut, since nothing showed that
     * the server still ran.
     *
     * @return the number since the creation of the pool
     */
    public long unconfirmedEndCount() {
        return unconfirmedEndCount;
    }

    private static Destination destination(BackendServer server) {
        return new Destination(server.name(), server.incarnation());
    }
}
