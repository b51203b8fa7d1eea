package org.borageproxy.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.protobuf.ByteString;
import org.borageproxy.event.HybridClock;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests connections between VMs that stay open and carry nothing any more. */
class SilentConnectionTest {

    private static final VmName ONE = new VmName("vm-1");
    private static final VmName TWO = new VmName("vm-2");
    private static final ByteString BODY = ByteString.copyFromUtf8("question");

    /** Time after a disturbance from which a VM counts as in touch on the sites with the shortest one. */
    private static final Duration STABLE_TIME = Duration.ofMillis(3000);

    private static NettyVmNetwork network(VmName name, int port) {
        return new NettyVmNetwork(
                name,
                peer -> Optional.of(new VmAddress(peer, new AvailabilityZone("a"), "127.0.0.1", port)),
                PeerCredential.of("secret"),
                new HybridClock(InstantSource.system()),
                MonotonicClock.ofSystem());
    }

    /** Guards against a VM that misses publications, since it goes on asking over connections that are silent. */
    @Test
    void silentConnectionIsReplacedBeforeTheVmCountsAsInTouch() throws Exception {
        try (NettyVmNetwork second = network(TWO, 0);
                Relay relay = new Relay(second.listen("127.0.0.1", 0));
                NettyVmNetwork first = network(ONE, relay.port())) {
            second.registerHandler(MessageKind.STATUS, (sender, body) -> CompletableFuture.completedFuture(body));
            assertTrue(isAnswered(first, Duration.ofSeconds(10)));
            relay.silenceOpenConnections();
            long silentSinceNanos = System.nanoTime();
            boolean isAnswered = false;
            while (!isAnswered
                    && System.nanoTime() - silentSinceNanos
                            < Duration.ofSeconds(20).toNanos()) {
                isAnswered = isAnswered(first, Duration.ofMillis(200));
            }
            Duration took = Duration.ofNanos(System.nanoTime() - silentSinceNanos);
            System.out.printf("event=silent-connection-replaced took_ms=%d%n", took.toMillis());
            assertTrue(isAnswered && took.compareTo(STABLE_TIME) <= 0, "took " + took);
        }
    }

    private static boolean isAnswered(NettyVmNetwork network, Duration timeout) {
        return network.request(TWO, MessageKind.STATUS, BODY, Deadline.after(System.nanoTime(), timeout))
                .handle((answer, failure) -> failure == null && answer.equals(BODY))
                .toCompletableFuture()
                .join();
    }

    /** Passes bytes on between accepted connections and a port, until the connections are silenced. */
    private static final class Relay implements AutoCloseable {

        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final List<AtomicBoolean> silences = new CopyOnWriteArrayList<>();
        private final int targetPort;

        Relay(int targetPort) throws IOException {
            this.targetPort = targetPort;
            start(this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        void silenceOpenConnections() {
            silences.forEach(silence -> silence.set(true));
        }

        private static void start(Runnable task) {
            Thread thread = new Thread(task, "relay");
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket accepted = listener.accept();
                    Socket dialed = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                    AtomicBoolean isSilent = new AtomicBoolean();
                    sockets.addAll(List.of(accepted, dialed));
                    silences.add(isSilent);
                    start(() -> pass(accepted, dialed, isSilent));
                    start(() -> pass(dialed, accepted, isSilent));
                }
            } catch (IOException closed) {
                // The test has ended.
            }
        }

        /** Drops the bytes of a silent connection, and does not pass its end on. */
        private static void pass(Socket source, Socket target, AtomicBoolean isSilent) {
            byte[] buffer = new byte[4096];
            try {
                InputStream input = source.getInputStream();
                OutputStream output = target.getOutputStream();
                for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                    if (!isSilent.get()) {
                        output.write(buffer, 0, count);
                    }
                }
                if (!isSilent.get()) {
                    target.close();
                }
            } catch (IOException closed) {
                // The other end is gone.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
