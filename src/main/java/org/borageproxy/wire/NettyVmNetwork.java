package org.borageproxy.wire;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
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
import io.netty.channel.EventLoop;
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
 * Exchanges messages between VMs over TCP. Each pair of VMs uses one connection for each direction of requests, opened
 * on demand. Both ends authenticate each other with the fleet's shared secret before any message is handled; the
 * traffic is not encrypted. Messages to this VM itself are dispatched without a connection. Thread safe.
 */
public final class NettyVmNetwork implements VmNetwork, VmStreams, AutoCloseable {

    private static final int NETWORK_THREADS = 2;
    /** Limits the TCP connect, and also connect and handshake together. */
    private static final int DIAL_TIMEOUT_MILLIS = 1_000;
    /**
     * The period without received bytes after which the dialing end sends a ping. Longer than a watch of the state
     * waits for a change, so that a VM at rest sends no pings; three of them pass before a VM with silent connections
     * counts as in touch again.
     */
    private static final int PING_IDLE_MILLIS = 850;
    /** Much longer than the dialing end's limit, so that normally the dialing end closes a dead connection. */
    private static final int ACCEPTED_IDLE_TIMEOUT_MILLIS = 30_000;

    private final EventLoopGroup eventLoops;
    /** Shuts the network threads down; without effect if they belong to the caller. */
    private final Runnable shutDownThreads;

    private final Frames frames;
    private final VmDirectory directory;
    private final MonotonicClock clock;
    private final MessageHandlers handlers = new MessageHandlers();
    private volatile Acceptor streamAcceptor =
            (sender, request, eventLoop) -> CompletableFuture.failedFuture(new UnreachableException("No streams here"));

    private final Map<VmName, DialedConnection> connections = new ConcurrentHashMap<>();

    /**
     * Creates a network with threads of its own, which {@link #close()} shuts down. It does not listen yet.
     *
     * @param self the name of this VM
     * @param directory resolves the addresses of VMs
     * @param credential the shared secret of the fleet
     * @param hybridClock this VM's hybrid logical clock
     * @param clock the clock of deadlines
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
        this.shutDownThreads = () -> own.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Creates a network on event loops of the caller. It does not listen yet.
     *
     * @param self the name of this VM
     * @param directory resolves the addresses of VMs
     * @param credential the shared secret of the fleet
     * @param hybridClock this VM's hybrid logical clock
     * @param clock the clock of deadlines
     * @param eventLoops the event loops, which {@link #close()} does not shut down
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
        this.shutDownThreads = () -> {};
    }

    /**
     * Binds a port and accepts connections of other VMs. Blocks until the port is bound; throws the cause if it cannot
     * be bound.
     *
     * @param host the IP address to bind
     * @param port the TCP port, zero for any free one
     * @return the bound port
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
    public void registerHandler(MessageKind kind, Handler handler) {
        handlers.register(kind, handler);
    }

    @Override
    public CompletionStage<Channel> open(VmName recipient, ByteString request, EventLoop eventLoop, Deadline deadline) {
        StreamOpening opening = new StreamOpening(recipient, frames, request, eventLoop);
        Optional<VmAddress> address = directory.find(recipient);
        if (address.isEmpty()) {
            opening.fail(new UnreachableException("Unknown VM: " + recipient));
            return opening.opened();
        }
        eventLoop.schedule(
                () -> opening.fail(new UnreachableException("No stream before the deadline through " + recipient)),
                deadline.remainingNanos(clock.nanoTime()),
                TimeUnit.NANOSECONDS);
        dial(address.get(), opening)
                .whenComplete((channel, failure) -> eventLoop.execute(() -> {
                    if (failure == null) {
                        opening.begin(channel);
                    } else {
                        opening.fail(failure);
                    }
                }));
        return opening.opened();
    }

    @Override
    public void acceptStreams(Acceptor acceptor) {
        streamAcceptor = acceptor;
    }

    private CompletionStage<Channel> acceptStream(VmName sender, ByteString request, EventLoop eventLoop) {
        return streamAcceptor.accept(sender, request, eventLoop);
    }

    /** Closes the connections that this VM opened, and shuts the network's own threads down. */
    @Override
    public void close() {
        connections.values().forEach(DialedConnection::close);
        shutDownThreads.run();
    }

    /**
     * Returns the connection to a VM and creates it if absent.
     *
     * @param recipient the VM
     * @return the connection, possibly not open yet
     */
    private DialedConnection connectionTo(VmName recipient) {
        return connections.computeIfAbsent(
                recipient, name -> new DialedConnection(name, this::dial, frames, clock, eventLoops.next()));
    }

    /**
     * Opens a channel to a VM and performs the handshake.
     *
     * @param address the VM's address
     * @param connection the connection that receives the channel's frames
     * @return the channel once the peer is authenticated, or the failure
     */
    private CompletableFuture<Channel> dial(VmAddress address, FrameReceiver connection) {
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

    private ChannelInitializer<SocketChannel> acceptingInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new IdleStateHandler(ACCEPTED_IDLE_TIMEOUT_MILLIS, 0, 0, TimeUnit.MILLISECONDS));
                channel.pipeline().addLast(new FrameCodec());
                channel.pipeline().addLast(new AcceptedConnection(frames, handlers, NettyVmNetwork.this::acceptStream));
            }
        };
    }

    private ChannelInitializer<SocketChannel> dialingInitializer(
            FrameReceiver connection, CompletableFuture<Channel> ready) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new IdleStateHandler(PING_IDLE_MILLIS, 0, 0, TimeUnit.MILLISECONDS));
                channel.pipeline().addLast(new FrameCodec());
                channel.pipeline().addLast(new DialingHandler(frames, connection, ready));
            }
        };
    }
}
