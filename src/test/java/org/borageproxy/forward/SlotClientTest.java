package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import org.borageproxy.execution.RequestDigest;
import org.borageproxy.publication.PublishedRoute;
import org.borageproxy.publication.Repeatability;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.UnreachableException;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotAnswer;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests requests for slots around a change of the coordinator, in virtual time. */
class SlotClientTest {

    private static final VmName C1 = new VmName("c1");
    private static final VmName C2 = new VmName("c2");
    private static final PublishedRoute ROUTE = new PublishedRoute(
            "r",
            "h",
            "/",
            Repeatability.IDEMPOTENT,
            Duration.ofSeconds(5),
            Duration.ofSeconds(1),
            Duration.ZERO,
            1,
            List.of(new PublishedRoute.WeightedService("s", 1)),
            2,
            false);

    private final VirtualTime time = new VirtualTime(1);
    private final FrozenNetwork network = new FrozenNetwork();
    private Optional<VmName> coordinator = Optional.of(C1);

    private final SlotClient client =
            new SlotClient(network, () -> coordinator, new AvailabilityZone("z"), time::nowNanos, Runnable::run);

    private List<Optional<SlotAnswer>> request() {
        List<Optional<SlotAnswer>> answers = new ArrayList<>();
        BufferedRequest buffered = new BufferedRequest(
                null,
                new RequestMetadata(
                        "i",
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty()),
                new RequestBody(new byte[0], null),
                ROUTE,
                "s",
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                CrashSuspects.of(RequestDigest.fingerprint("w", "/", new byte[0]), "s", List.of()),
                time.nowNanos(),
                Deadline.after(time.nowNanos(), Duration.ofSeconds(5)));
        client.request(
                buffered,
                new PriorAttempts(),
                Set.of(),
                Optional.empty(),
                (answer, slotValidUntil) -> answers.add(answer));
        return answers;
    }

    @Test
    void vmThatDidNotAnswerIsNotAskedDuringBackoff() {
        List<Optional<SlotAnswer>> first = request();
        time.advance(Duration.ofMillis(500));
        assertEquals(List.of(Optional.empty()), first);
        assertEquals(List.of(Optional.empty()), request());
        assertEquals(List.of(C1), network.asked);
    }

    /** Guards against entries that do not ask an elected coordinator because the frozen one did not answer. */
    @Test
    void nextCoordinatorIsAskedDuringBackoffOfFrozenOne() {
        request();
        time.advance(Duration.ofMillis(500));
        coordinator = Optional.of(C2);
        assertTrue(request().get(0).isPresent());
        assertEquals(List.of(C1, C2), network.asked);
    }

    @Test
    void lateFailureOfFormerCoordinatorDoesNotDelayRequestsToNextOne() {
        request();
        time.advance(Duration.ofMillis(100));
        coordinator = Optional.of(C2);
        time.advance(Duration.ofMillis(400));
        assertTrue(request().get(0).isPresent());
        assertEquals(List.of(C1, C2), network.asked);
    }

    /** Network in which {@code c1} is frozen and all others answer at once. */
    private final class FrozenNetwork implements VmNetwork {

        private final List<VmName> asked = new ArrayList<>();

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            throw new AssertionError("sent a message: " + kind);
        }

        @Override
        public CompletionStage<ByteString> request(
                VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
            asked.add(recipient);
            if (!recipient.equals(C1)) {
                return CompletableFuture.completedFuture(SlotAnswer.newBuilder()
                        .setOutcome(SlotAnswer.Outcome.CHOSEN)
                        .setSlot(1)
                        .build()
                        .toByteString());
            }
            CompletableFuture<ByteString> answer = new CompletableFuture<>();
            time.scheduleAfterNanos(
                    deadline.remainingNanos(time.nowNanos()),
                    () -> answer.completeExceptionally(new UnreachableException("deadline passed")));
            return answer;
        }

        @Override
        public void registerHandler(MessageKind kind, Handler handler) {
            throw new UnsupportedOperationException();
        }
    }
}
