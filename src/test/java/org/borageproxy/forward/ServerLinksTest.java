package org.borageproxy.forward;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.borageproxy.event.HybridClock;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.NettyVmNetwork;
import org.borageproxy.wire.PeerCredential;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Two VMs with real connections between them. A server that one of them reaches has another port in the announcement
 * that the other one sees: one that refuses connections, or one that lets them hang.
 */
class ServerLinksTest {

    private static final VmName ENTRY = new VmName("entry");
    private static final VmName OTHER = new VmName("other");
    private static final Duration STEP_TIMEOUT = Duration.ofSeconds(20);

    private final MonotonicClock clock = MonotonicClock.ofSystem();
    private final Map<VmName, VmAddress> addresses = new HashMap<>();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final NettyVmNetwork entryNetwork = network(ENTRY);
    private final NettyVmNetwork otherNetwork = network(OTHER);
    private final List<BackendServer> entryServers = new CopyOnWriteArrayList<>();
    private final List<BackendServer> otherServers = new CopyOnWriteArrayList<>();
    private final List<ServerSocket> sockets = new ArrayList<>();
    private final List<Socket> heldConnections = new ArrayList<>();
    private final ServerLinks links = links(entryNetwork, List.of(OTHER), entryServers);
    private final ServerLinks otherLinks = links(otherNetwork, List.of(), otherServers);
    private final ServerRelay relay = new ServerRelay(() -> List.copyOf(otherServers), otherLinks, () -> false);

    private final ServerRelay entryRelay = new ServerRelay(() -> List.copyOf(entryServers), links, () -> false);
    private final List<BackendServer> leavingAtOther = new CopyOnWriteArrayList<>();

    private RefusalNotices otherNotices;

    private record Opened(Channel channel, boolean isRelayed, boolean isRefused) {}

    private NettyVmNetwork network(VmName name) {
        return new NettyVmNetwork(
                name,
                peer -> Optional.ofNullable(addresses.get(peer)),
                PeerCredential.of("secret"),
                new HybridClock(InstantSource.system()),
                clock,
                eventLoop);
    }

    private ServerLinks links(NettyVmNetwork network, List<VmName> relays, List<BackendServer> servers) {
        return new ServerLinks(
                eventLoop, clock, new ServerLinks.Environment(network, () -> relays, () -> List.copyOf(servers)));
    }

    @BeforeEach
    void start() {
        int port = otherNetwork.listen("127.0.0.1", 0);
        addresses.put(OTHER, new VmAddress(OTHER, new AvailabilityZone("a"), "127.0.0.1", port));
        otherNetwork.acceptStreams(relay);
        int entryPort = entryNetwork.listen("127.0.0.1", 0);
        addresses.put(ENTRY, new VmAddress(ENTRY, new AvailabilityZone("a"), "127.0.0.1", entryPort));
        RefusalNotices.exchange(entryNetwork, links.refusals(), entryRelay, server -> {}, eventLoop);
        otherNotices =
                RefusalNotices.exchange(otherNetwork, otherLinks.refusals(), relay, leavingAtOther::add, eventLoop);
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket connection : heldConnections) {
            connection.close();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(10, TimeUnit.SECONDS);
    }

    private ServerSocket listen(int backlog) throws IOException {
        ServerSocket socket = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
        sockets.add(socket);
        return socket;
    }

    private static int refusingPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Returns a port whose queue of connections is full, so that new ones hang. */
    private int hangingPort() throws IOException {
        ServerSocket full = listen(1);
        for (int number = 0; number < 4; number++) {
            Socket filler = new Socket();
            try {
                filler.connect(full.getLocalSocketAddress(), 100);
            } catch (IOException exception) {
                // The queue is full.
            }
            heldConnections.add(filler);
        }
        return full.getLocalPort();
    }

    private BackendServer announce(String name, int entryPort, int otherPort) {
        BackendServer server = BackendServerFixture.service(name, entryPort);
        entryServers.add(server);
        otherServers.add(BackendServerFixture.service(name, otherPort));
        return server;
    }

    private Opened open(BackendServer server) throws Exception {
        CompletableFuture<Opened> opened = new CompletableFuture<>();
        eventLoop.execute(() -> links.open(server, new ServerLinks.OpenListener() {
            @Override
            public void onOpened(Channel channel, Optional<VmName> relay) {
                opened.complete(new Opened(channel, relay.isPresent(), false));
            }

            @Override
            public void onFailed(String reason, boolean isRefused) {
                opened.complete(new Opened(null, false, isRefused));
            }
        }));
        return opened.get(STEP_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + STEP_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - end < 0, "condition not met");
            Thread.sleep(10);
        }
    }

    /** Collects what a connection receives until it ends. */
    private static final class Receiver extends ChannelInboundHandlerAdapter {
        private final StringBuffer text = new StringBuffer();
        private volatile boolean isReset;
        private volatile boolean hasEnded;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            text.append(bytes.toString(StandardCharsets.UTF_8));
            bytes.release();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            isReset = true;
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            hasEnded = true;
        }
    }

    private Receiver receive(Channel channel, String request) {
        Receiver receiver = new Receiver();
        eventLoop.execute(() -> {
            channel.pipeline().addLast(receiver);
            channel.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.UTF_8));
        });
        return receiver;
    }

    @Test
    void reachableServerIsConnectedDirectly() throws Exception {
        int port = listen(10).getLocalPort();
        assertFalse(open(announce("s", port, port)).isRelayed());
    }

    /** Guards against callers waiting for a connection timeout although another VM reaches the server. */
    @Test
    void serverThatCannotBeReachedDirectlyIsReachedThroughAnotherVm() throws Exception {
        ServerSocket reachable = listen(10);
        for (int port : List.of(refusingPort(), hangingPort())) {
            Opened opened = open(announce("s" + port, port, reachable.getLocalPort()));
            assertTrue(opened.isRelayed(), opened.toString());
            Receiver receiver = receive(opened.channel(), "ask");
            try (Socket accepted = reachable.accept()) {
                assertEquals("ask", new String(accepted.getInputStream().readNBytes(3), StandardCharsets.UTF_8));
                accepted.getOutputStream().write("answer".getBytes(StandardCharsets.UTF_8));
                accepted.getOutputStream().flush();
                await(() -> receiver.text.toString().equals("answer"));
            }
            await(() -> receiver.hasEnded);
            assertFalse(receiver.isReset);
        }
    }

    /** Guards against an answer without length that was cut off and looks complete behind another VM. */
    @Test
    void resetOfTheServerIsPassedOn() throws Exception {
        ServerSocket reachable = listen(10);
        Opened opened = open(announce("s", refusingPort(), reachable.getLocalPort()));
        Receiver receiver = receive(opened.channel(), "ask");
        Socket accepted = reachable.accept();
        accepted.setSoLinger(true, 0);
        accepted.close();
        await(() -> receiver.hasEnded);
        assertTrue(receiver.isReset);
    }

    /** Guards against runs that go on at the server after their caller has left. */
    @Test
    void closedConnectionIsClosedAtTheServer() throws Exception {
        ServerSocket reachable = listen(10);
        Opened opened = open(announce("s", refusingPort(), reachable.getLocalPort()));
        try (Socket accepted = reachable.accept()) {
            accepted.setSoTimeout((int) STEP_TIMEOUT.toMillis());
            opened.channel().close();
            assertEquals(-1, accepted.getInputStream().read());
        }
    }

    /** Guards against memory that fills up in a VM between a fast server and a slow reader. */
    @Test
    void slowReaderStopsTheServer() throws Exception {
        ServerSocket reachable = listen(10);
        Opened opened = open(announce("s", refusingPort(), reachable.getLocalPort()));
        eventLoop.execute(() -> opened.channel().config().setAutoRead(false));
        try (Socket accepted = reachable.accept()) {
            CompletableFuture<Void> writing = CompletableFuture.runAsync(() -> {
                try {
                    for (int number = 0; number < 640; number++) {
                        accepted.getOutputStream().write(new byte[100_000]);
                    }
                } catch (IOException exception) {
                    throw new UncheckedIOException(exception);
                }
            });
            Thread.sleep(1_500);
            assertFalse(writing.isDone(), () -> "without a reader: " + writing);
            opened.channel().close();
            assertThrows(ExecutionException.class, () -> writing.get(STEP_TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        }
    }

    /** Guards against sound servers counting as gone because this VM has lost its link to them. */
    @Test
    void onlyServerThatRefusesAnotherVmAsWellIsGone() throws Exception {
        int port = refusingPort();
        assertTrue(open(announce("gone", port, port)).isRefused());
        assertTrue(links.isRefusedElsewhere(entryServers.get(0))
                .toCompletableFuture()
                .get(STEP_TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        BackendServer sound = announce("sound", refusingPort(), listen(10).getLocalPort());
        assertFalse(
                links.isRefusedElsewhere(sound).toCompletableFuture().get(STEP_TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        assertFalse(links.areLost());
    }

    @Test
    void linksAreLostAfterFailuresOfTwoServersUntilAConnectionHolds() throws Exception {
        int reachable = listen(10).getLocalPort();
        BackendServer first = announce("first", refusingPort(), reachable);
        BackendServer second = announce("second", refusingPort(), reachable);
        open(first);
        assertFalse(links.areLost());
        open(second);
        await(links::areLost);
        Thread.sleep(1_500);
        assertTrue(links.areLost());
        entryServers.clear();
        entryServers.add(BackendServerFixture.service("first", reachable));
        await(() -> !links.areLost());
    }

    /** Guards against a VM that reports servers as gone to another one although it has lost its own links. */
    @Test
    void vmThatStopsOrHasLostItsLinksConnectsNoOthers() throws Exception {
        int reachable = listen(10).getLocalPort();
        ServerRelay stopping = new ServerRelay(() -> List.copyOf(otherServers), otherLinks, () -> true);
        otherNetwork.acceptStreams(stopping);
        assertFalse(stopping.isAvailable());
        Opened opened = open(announce("s", refusingPort(), reachable));
        assertFalse(opened.isRefused(), opened.toString());
        assertEquals(null, opened.channel());
    }

    private <T> T onEventLoop(Callable<T> query) throws Exception {
        return eventLoop.submit(query).get(STEP_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private void awaitOnEventLoop(Callable<Boolean> condition) throws Exception {
        await(() -> {
            try {
                return onEventLoop(condition);
            } catch (Exception exception) {
                throw new IllegalStateException(exception);
            }
        });
    }

    /** Guards against a VM that goes on, or connects others, although a server refused it in an answer to another. */
    @Test
    void refusedVmIsToldByTheOneThatReadsTheAnswerAndConnectsNobody() throws Exception {
        BackendServer server = announce("s", refusingPort(), listen(10).getLocalPort());
        assertTrue(open(server).isRelayed());
        eventLoop.execute(() -> links.refusals().recordAnswer(server, Optional.of(OTHER), STEP_TIMEOUT));
        awaitOnEventLoop(() -> !otherLinks.refusals().accepts(server, Optional.empty()));
        assertTrue(onEventLoop(() -> links.refusals().accepts(server, Optional.empty())));
        Opened again = open(server);
        assertNull(again.channel());
    }

    /** Guards against VMs that send through another one which a server has refused in the meantime. */
    @Test
    void refusedVmTellsThoseThatAreConnectedThroughIt() throws Exception {
        BackendServer server = announce("s", refusingPort(), listen(10).getLocalPort());
        assertTrue(open(server).isRelayed());
        eventLoop.execute(() -> otherLinks.refusals().recordAnswer(server, Optional.empty(), STEP_TIMEOUT));
        awaitOnEventLoop(() -> !links.refusals().accepts(server, Optional.of(OTHER)));
    }

    /** Guards against requests that are sent through a VM that stops and are cut with its connections. */
    @Test
    void vmThatStopsTellsThoseThatAreConnectedThroughIt() throws Exception {
        BackendServer server = announce("s", refusingPort(), listen(10).getLocalPort());
        assertTrue(open(server).isRelayed());
        eventLoop.execute(() -> otherNotices.tellStopping(Deadline.after(clock.nanoTime(), STEP_TIMEOUT)));
        awaitOnEventLoop(() -> !links.refusals().accepts(server, Optional.of(OTHER)));
        assertTrue(onEventLoop(() -> links.refusals().accepts(server, Optional.empty())));
    }

    /** Guards against a VM that is told why it is not connected and does not keep to it. */
    @Test
    void vmThatIsNotConnectedLearnsUntilWhen() throws Exception {
        BackendServer server = announce("s", refusingPort(), listen(10).getLocalPort());
        eventLoop.execute(() -> otherLinks.refusals().recordAnswer(server, Optional.empty(), STEP_TIMEOUT));
        assertNull(open(server).channel());
        assertFalse(onEventLoop(() -> links.refusals().accepts(server, Optional.of(OTHER))));
    }

    /** Guards against servers that leave getting requests from the VM through which they have said so. */
    @Test
    void vmThatPassedOnThatAServerLeavesIsTold() throws Exception {
        BackendServer server = announce("s", refusingPort(), listen(10).getLocalPort());
        assertTrue(open(server).isRelayed());
        eventLoop.execute(() -> links.refusals().recordLeaving(server, Optional.of(OTHER)));
        await(() -> !leavingAtOther.isEmpty());
        assertEquals("s", leavingAtOther.get(0).name().value());
    }
}
