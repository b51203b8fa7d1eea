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
 * Connections to backend servers, kept for reuse by server and incarnation, the last used first. A connection that was
 * not wholly and cleanly used is never handed out again. Used by one event loop only.
 */
public final class ServerConnectionPool {

    /** The longest time for opening a connection, in milliseconds; several round trips between zones. */
    private static final int CONNECT_MILLIS = 700;
    /** Seconds without traffic after which a silent connection is probed. */
    private static final int PROBE_IDLE_SECONDS = 1;
    /** Seconds between probes. */
    private static final int PROBE_INTERVAL_SECONDS = 1;
    /** Unanswered probes after which a connection is lost. */
    private static final int PROBES = 2;

    private static final int MOST_IDLE = 64;
    private static final int MOST_LINE_BYTES = 8 << 10;
    private static final int MOST_HEADER_BYTES = 64 << 10;
    private static final int MOST_CHUNK_BYTES = 64 << 10;

    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final Map<Destination, Deque<ServerConnection>> idle = new HashMap<>();
    private long openedCount;

    private record Destination(BackendServerName server, long incarnation) {}

    /** Takes an open connection or the reason why there is none. */
    interface ConnectListener {

        /**
         * Takes a connection.
         *
         * @param connection the open connection
         */
        void onConnected(ServerConnection connection);

        /**
         * Takes the failure to connect.
         *
         * @param reason why
         * @param isRefused whether nothing listens at the server's address
         */
        void onUnreachable(String reason, boolean isRefused);
    }

    /**
     * Creates a pool.
     *
     * @param eventLoop the only user of the pool
     * @param clock the clock
     */
    public ServerConnectionPool(EventLoop eventLoop, MonotonicClock clock) {
        this.eventLoop = eventLoop;
        this.clock = clock;
    }

    /**
     * Hands out a kept or a new connection.
     *
     * @param server the server
     * @param taker takes the outcome, perhaps before this returns
     */
    void connect(BackendServer server, ConnectListener taker) {
        Deque<ServerConnection> kept = idle.get(destination(server));
        while (kept != null && !kept.isEmpty()) {
            ServerConnection connection = kept.pop();
            if (connection.isUsable(clock.nanoTime())) {
                taker.onConnected(connection);
                return;
            }
            connection.close();
        }
        open(server, taker);
    }

    private void open(BackendServer server, ConnectListener taker) {
        openedCount++;
        Destination destination = destination(server);
        ServerConnection connection = new ServerConnection(clock, used -> keep(destination, used));
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(initializer(connection))
                .connect(server.host(), server.port())
                .addListener(result -> {
                    if (result.isSuccess()) {
                        taker.onConnected(connection);
                    } else {
                        boolean isRefused = result.cause() instanceof ConnectException
                                && !(result.cause() instanceof ConnectTimeoutException);
                        taker.onUnreachable(String.valueOf(result.cause().getMessage()), isRefused);
                    }
                });
    }

    private static ChannelInitializer<SocketChannel> initializer(ServerConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new HttpClientCodec(MOST_LINE_BYTES, MOST_HEADER_BYTES, MOST_CHUNK_BYTES))
                        .addLast(connection);
            }
        };
    }

    private void keep(Destination destination, ServerConnection connection) {
        Deque<ServerConnection> kept = idle.computeIfAbsent(destination, key -> new ArrayDeque<>());
        if (kept.size() >= MOST_IDLE) {
            kept.removeLast().close();
        }
        kept.push(connection);
    }

    /**
     * Closes the kept connections to servers that are gone.
     *
     * @param isCurrent tells whether an incarnation of a server is current
     */
    public void closeObsolete(BiPredicate<BackendServerName, Long> isCurrent) {
        idle.entrySet().removeIf(entry -> {
            boolean gone =
                    !isCurrent.test(entry.getKey().server(), entry.getKey().incarnation());
            if (gone) {
                entry.getValue().forEach(ServerConnection::close);
            }
            return gone;
        });
    }

    /**
     * Returns how many connections were opened.
     *
     * @return the number since the start
     */
    public long openedCount() {
        return openedCount;
    }

    private static Destination destination(BackendServer server) {
        return new Destination(server.name(), server.incarnation());
    }
}
