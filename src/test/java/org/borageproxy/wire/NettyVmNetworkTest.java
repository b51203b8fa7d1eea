package org.borageproxy.wire;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import org.borageproxy.event.HybridClock;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests of {@link NettyVmNetwork}. */
class NettyVmNetworkTest {

    private static final VmName ONE = new VmName("vm-1");
    private static final VmName TWO = new VmName("vm-2");
    private static final ByteString PING = ByteString.copyFromUtf8("ping");

    private final Map<VmName, VmAddress> addresses = new HashMap<>();
    private final NettyVmNetwork first = network(ONE, "secret");

    private NettyVmNetwork network(VmName name, String secret) {
        return new NettyVmNetwork(
                name,
                peer -> Optional.ofNullable(addresses.get(peer)),
                PeerCredential.of(secret),
                new HybridClock(InstantSource.system()),
                MonotonicClock.ofSystem());
    }

    private void listen(VmName name, NettyVmNetwork network) {
        int port = network.listen("127.0.0.1", 0);
        addresses.put(name, new VmAddress(name, new AvailabilityZone("a"), "127.0.0.1", port));
    }

    private CompletableFuture<ByteString> sendRequest(long millis) {
        Deadline deadline = Deadline.after(System.nanoTime(), Duration.ofMillis(millis));
        return first.request(TWO, MessageKind.STATUS, PING, deadline).toCompletableFuture();
    }

    @AfterEach
    void close() {
        first.close();
    }

    @Test
    void requestIsAnsweredAndOneWayMessageIsDelivered() throws Exception {
        try (NettyVmNetwork second = network(TWO, "secret")) {
            listen(TWO, second);
            CompletableFuture<ByteString> received = new CompletableFuture<>();
            second.registerHandler(MessageKind.LOG, (sender, body) -> {
                received.complete(body);
                return CompletableFuture.completedFuture(ByteString.EMPTY);
            });
            second.registerHandler(
                    MessageKind.STATUS,
                    (sender, body) ->
                            CompletableFuture.completedFuture(body.concat(ByteString.copyFromUtf8(sender.value()))));
            assertEquals("pingvm-1", sendRequest(10_000).get().toStringUtf8());
            first.send(TWO, MessageKind.LOG, PING);
            assertEquals(PING, received.get(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void messagesFromVmWithDifferentSecretAreNotHandled() {
        try (NettyVmNetwork second = network(TWO, "another")) {
            listen(TWO, second);
            AtomicInteger handledCount = new AtomicInteger();
            second.registerHandler(MessageKind.STATUS, (sender, body) -> {
                handledCount.incrementAndGet();
                return CompletableFuture.completedFuture(body);
            });
            ExecutionException failure = assertThrows(
                    ExecutionException.class, () -> sendRequest(10_000).get());
            assertInstanceOf(UnreachableException.class, failure.getCause());
            assertEquals(0, handledCount.get());
        }
    }

    @Test
    void requestToUnknownVmOrWithoutResponseFails() {
        assertThrows(ExecutionException.class, () -> sendRequest(10_000).get());
        try (NettyVmNetwork second = network(TWO, "secret")) {
            listen(TWO, second);
            second.registerHandler(MessageKind.STATUS, (sender, body) -> new CompletableFuture<>());
            assertThrows(ExecutionException.class, () -> sendRequest(300).get());
        }
    }

    @Test
    void reconnectsToARestartedVm() throws Exception {
        for (int round = 0; round < 2; round++) {
            NettyVmNetwork second = network(TWO, "secret");
            listen(TWO, second);
            second.registerHandler(MessageKind.STATUS, (sender, body) -> CompletableFuture.completedFuture(body));
            assertEquals(PING, requestUntilAnswered());
            second.close();
        }
    }

    private ByteString requestUntilAnswered() throws Exception {
        Deadline retryUntil = Deadline.after(System.nanoTime(), Duration.ofSeconds(20));
        while (true) {
            try {
                return sendRequest(1_000).get();
            } catch (ExecutionException exception) {
                if (retryUntil.hasPassed(System.nanoTime())) {
                    throw exception;
                }
                Thread.sleep(20);
            }
        }
    }
}
