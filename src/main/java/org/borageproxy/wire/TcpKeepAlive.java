package org.borageproxy.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * TCP keep-alive with short intervals, so that a connection which fell silent for good is closed within seconds. No
 * user timeout is set, since the system would apply it to the probes instead of their number.
 */
public final class TcpKeepAlive {

    /** Idle time before the first probe. */
    private static final int IDLE_SECONDS = 1;

    private static final int INTERVAL_SECONDS = 1;
    /** Number of unanswered probes after which a connection counts as lost. */
    private static final int MAX_UNANSWERED_PROBES = 2;

    private TcpKeepAlive() {}

    /**
     * Enables probes on a connection.
     *
     * @param channel a TCP connection
     */
    public static void enable(Channel channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_UNANSWERED_PROBES);
    }
}
