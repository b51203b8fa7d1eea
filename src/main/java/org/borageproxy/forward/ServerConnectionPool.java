package org.borageproxy.forward;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import jdk.net.ExtendedSocketOptions;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.time.MonotonicClock;

/**
 * Pool of connections to backend servers, by server and incarnation. The most recently used idle connection is reused
 * first. A connection whose last exchange did not complete cleanly is never reused. Not thread safe; confined to one
 * event loop.
 */
public final class ServerConnectionPool {

    /** Connect timeout; covers several round trips between availability zones. */
    private static final int CONNECT_TIMEOUT_MILLIS = 700;
    /** Idle time before the first TCP keep-alive probe. */
    private static final int PROBE_IDLE_SECONDS = 1;

    private static final int PROBE_INTERVAL_SECONDS = 1;
    /** Number of unanswered TCP keep-alive probes after which a connection counts as lost. */
    private static final int MAX_UNANSWERED_PROBES = 2;

    private static final int MAX_IDLE_PER_SERVER = 64;
    private static final int MAX_LINE_BYTES = 8 << 10;
    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final Map<Destination, Deque<ServerConnection>> idle = new HashMap<>();
    private long openedCount;

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
     * @param eventLoop the event loop of the connections and of all callers
     * @param clock the clock
     */
    public ServerConnectionPool(EventLoop eventLoop, MonotonicClock clock) {
        this.eventLoop = eventLoop;
        this.clock = clock;
    }

    /**
     * Acquires an idle connection or opens a new one.
     *
     * @param server the server
     * @param listener receives the outcome, possibly before this method returns
     */
    void connect(BackendServer server, ConnectListener listener) {
        Deque<ServerConnection> idleConnections = idle.get(destination(server));
        while (idleConnections != null && !idleConnections.isEmpty()) {
            ServerConnection connection = idleConnections.pop();
            if (connection.isUsable(clock.nanoTime())) {
                listener.onConnected(connection);
                return;
            }
            connection.close();
        }
        open(server, listener);
    }

    private void open(BackendServer server, ConnectListener listener) {
        openedCount++;
        Destination destination = destination(server);
        ServerConnection connection = new ServerConnection(clock, used -> returnIdle(destination, used));
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_UNANSWERED_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(initializer(connection))
                .connect(server.host(), server.port())
                .addListener(result -> {
                    if (result.isSuccess()) {
                        listener.onConnected(connection);
                    } else {
                        boolean isRefused = result.cause() instanceof ConnectException
                                && !(result.cause() instanceof ConnectTimeoutException);
                        listener.onUnreachable(String.valueOf(result.cause().getMessage()), isRefused);
                    }
                });
    }

    private static ChannelInitializer<SocketChannel> initializer(ServerConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                        .addLast(connection);
            }
        };
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

    private static Destination destination(BackendServer server) {
        return new Destination(server.name(), server.incarnation());
    }
}
