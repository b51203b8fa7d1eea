package org.borageproxy.wire;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import org.borageproxy.event.HybridClock;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;

/**
 * Messages between VMs over TCP. Each pair of VMs uses one connection for each direction of requests; both ends prove
 * that they know the fleet's secret before any message passes. Safe for use by any thread.
 */
public final class NettyVmNetwork implements VmNetwork, AutoCloseable {

    /** The number of network threads. */
    private static final int NETWORK_THREADS = 2;
    /** The time allowed for dialing, in milliseconds. */
    private static final int DIAL_TIMEOUT_MILLIS = 1_000;
    /** The time without a frame after which the dialing end pings, in milliseconds. */
    private static final int PING_AFTER_MILLIS = 1_500;
    /** The time without a frame after which the accepting end closes, in milliseconds. */
    private static final int ACCEPTED_IDLE_MILLIS = 30_000;

    /** The network threads. */
    private final EventLoopGroup eventLoops;
    /** Ends the network threads that are this network's own. */
    private final Runnable endThreads;
    /** Makes the frames. */
    private final Frames frames;
    /** Finds the addresses of VMs. */
    private final VmDirectory directory;
    /** The clock of the deadlines. */
    private final MonotonicClock clock;
    /** The handlers of messages. */
    private final MessageHandlers handlers = new MessageHandlers();
    /** The dialed connections by VM. */
    private final Map<VmName, DialedConnection> connections = new ConcurrentHashMap<>();

    /**
     * Creates a network that does not listen yet.
     *
     * @param self the name of this VM
     * @param directory finds the addresses of VMs
     * @param credential the secret that the VMs share
     * @param hybridClock this VM's hybrid logical clock
     * @param clock the clock of the deadlines
     */
    public NettyVmNetwork(
            VmName self,
            VmDirectory directory,
            PeerCredential credential,
            HybridClock hybridClock,
            MonotonicClock clock) {
        this.frames = new Frames(self, hybridClock, credential);
        this.directory = directory;
        this.clock = clock;
        MultiThreadIoEventLoopGroup own = new MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory());
        this.eventLoops = own;
        this.endThreads = () -> own.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Creates a network that does not listen yet and shares the thread of others.
     *
     * @param self the name of this VM
     * @param directory finds the addresses of VMs
     * @param credential the secret that the VMs share
     * @param hybridClock this VM's hybrid logical clock
     * @param clock the clock of the deadlines
     * @param eventLoops runs the network, and is not ended with it
     */
    public NettyVmNetwork(
            VmName self,
            VmDirectory directory,
            PeerCredential credential,
            HybridClock hybridClock,
            MonotonicClock clock,
            EventLoopGroup eventLoops) {
        this.frames = new Frames(self, hybridClock, credential);
        this.directory = directory;
        this.clock = clock;
        this.eventLoops = eventLoops;
        this.endThreads = () -> {};
    }

    /**
     * Listens for other VMs.
     *
     * @param host the IP address to listen on
     * @param port the port to listen on, zero for any free one
     * @return the port
     */
    public int listen(String host, int port) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(acceptingInitializer());
        Channel channel = bootstrap.bind(host, port).syncUninterruptibly().channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public void send(VmName recipient, MessageKind kind, ByteString body) {
        if (recipient.equals(frames.self())) {
            eventLoops.execute(() -> handlers.dispatch(recipient, kind.number(), body));
            return;
        }
        connectionTo(recipient).send(kind, body, directory.find(recipient));
    }

    @Override
    public CompletionStage<ByteString> request(VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
        if (recipient.equals(frames.self())) {
            return CompletableFuture.completedFuture(body)
                    .thenComposeAsync(content -> handlers.dispatch(recipient, kind.number(), content), eventLoops);
        }
        return connectionTo(recipient).request(kind, body, directory.find(recipient), deadline);
    }

    @Override
    public void handle(MessageKind kind, Handler handler) {
        handlers.register(kind, handler);
    }

    /** Closes all connections and ends the network threads. */
    @Override
    public void close() {
        connections.values().forEach(DialedConnection::close);
        endThreads.run();
    }

    /**
     * Returns the connection to a VM.
     *
     * @param recipient the VM
     * @return the connection, which may not be dialed yet
     */
    private DialedConnection connectionTo(VmName recipient) {
        return connections.computeIfAbsent(
                recipient, name -> new DialedConnection(name, this::dial, frames, clock, eventLoops.next()));
    }

    /**
     * Dials a VM and runs the handshake.
     *
     * @param address the VM's address
     * @param connection the connection that will use the channel
     * @return the channel once the other end has proved itself
     */
    private CompletableFuture<Channel> dial(VmAddress address, DialedConnection connection) {
        CompletableFuture<Channel> ready = new CompletableFuture<>();
        Bootstrap bootstrap = new Bootstrap()
                .group(connection.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DIAL_TIMEOUT_MILLIS)
                .handler(dialingInitializer(connection, ready));
        bootstrap.connect(address.host(), address.port()).addListener(result -> {
            if (!result.isSuccess()) {
                ready.completeExceptionally(result.cause());
            }
        });
        return ready.orTimeout(DIAL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the initializer of accepted channels.
     *
     * @return the initializer
     */
    private ChannelInitializer<SocketChannel> acceptingInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new IdleStateHandler(ACCEPTED_IDLE_MILLIS, 0, 0, TimeUnit.MILLISECONDS));
                FrameCodec.addTo(channel.pipeline());
                channel.pipeline().addLast(new AcceptedConnection(frames, handlers));
            }
        };
    }

    /**
     * Returns the initializer of dialed channels.
     *
     * @param connection the connection that uses the channel
     * @param ready completes when the other end has proved itself
     * @return the initializer
     */
    private ChannelInitializer<SocketChannel> dialingInitializer(
            DialedConnection connection, CompletableFuture<Channel> ready) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new IdleStateHandler(PING_AFTER_MILLIS, 0, 0, TimeUnit.MILLISECONDS));
                FrameCodec.addTo(channel.pipeline());
                channel.pipeline().addLast(new DialingHandler(frames, connection, ready));
            }
        };
    }
}
