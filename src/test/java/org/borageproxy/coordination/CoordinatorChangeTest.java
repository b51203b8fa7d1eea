package org.borageproxy.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.UnreachableException;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests reports around a change of the coordinator, in virtual time. Guards against entries that wait for a frozen
 * coordinator although another one is elected.
 */
class CoordinatorChangeTest {

    private static final VmName C1 = new VmName("c1");
    private static final VmName C2 = new VmName("c2");

    /** Longest time to the next report of an entry that knows the coordinator. */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(120);

    private final VirtualTime time = new VirtualTime(1);
    private final ScriptedNetwork network = new ScriptedNetwork();
    private final List<VmName> answered = new ArrayList<>();

    private final CoordinationClient client = new CoordinationClient(
            network,
            () -> List.of(C1, C2),
            time::nowNanos,
            (delay, task) -> time.scheduleAfterNanos(delay.toNanos(), task),
            Runnable::run,
            UsageReport::getDefaultInstance,
            (update, reportedAtNanos) -> {});

    private void runUntilReportToFrozenVmIsInFlight() {
        client.start();
        time.advance(Duration.ofSeconds(1));
        assertEquals(Optional.of(C1), client.coordinator());
        network.frozen.add(C1);
        time.advance(Duration.ofMillis(300));
        assertTrue(network.inFlight > 0);
        answered.clear();
        network.coordinator = C2;
    }

    @Test
    void noticeOfNextCoordinatorEndsWaitForFrozenOne() {
        runUntilReportToFrozenVmIsInFlight();
        network.notifyOf(C2);
        time.advance(REPORT_INTERVAL);
        assertEquals(List.of(C2), answered);
        assertEquals(Optional.of(C2), client.coordinator());
    }

    @Test
    void lateFailureOfFormerCoordinatorDoesNotHideNextOne() {
        runUntilReportToFrozenVmIsInFlight();
        network.notifyOf(C2);
        for (int step = 0; step < 100; step++) {
            time.advance(Duration.ofMillis(10));
            assertEquals(Optional.of(C2), client.coordinator());
        }
    }

    @Test
    void lateAnswerOfFormerCoordinatorIsIgnored() {
        runUntilReportToFrozenVmIsInFlight();
        network.notifyOf(C2);
        time.advance(Duration.ofMillis(10));
        network.answerHeld();
        assertEquals(Optional.of(C2), client.coordinator());
        time.advance(REPORT_INTERVAL);
        assertEquals(List.of(C2), answered);
    }

    @Test
    void noticeOfSameCoordinatorLeavesReportInFlight() {
        client.start();
        time.advance(Duration.ofSeconds(1));
        network.frozen.add(C1);
        time.advance(Duration.ofMillis(300));
        int sent = network.sent;
        network.notifyOf(C1);
        time.advance(Duration.ofMillis(80));
        assertEquals(sent, network.sent);
    }

    @Test
    void leaderAnnouncesItselfOnceInEachTerm() {
        long[] term = {1};
        boolean[] leads = {false};
        List<Long> announced = new ArrayList<>();
        LeadershipNotices notices = new LeadershipNotices(
                () -> leads[0],
                () -> term[0],
                () -> announced.add(term[0]),
                (delay, task) -> time.scheduleAfterNanos(delay.toNanos(), task));
        notices.start();
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of(), announced);
        leads[0] = true;
        time.advance(LeadershipNotices.CHECK_INTERVAL);
        assertEquals(List.of(1L), announced);
        leads[0] = false;
        term[0] = 2;
        time.advance(Duration.ofSeconds(1));
        term[0] = 3;
        leads[0] = true;
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of(1L, 3L), announced);
        notices.stop();
        term[0] = 4;
        time.advance(Duration.ofSeconds(1));
        assertEquals(List.of(1L, 3L), announced);
    }

    private static ByteString update() {
        return CoordinationUpdate.newBuilder().setCoordinates(true).build().toByteString();
    }

    /** Answers reports at once, unless the recipient is frozen. */
    private final class ScriptedNetwork implements VmNetwork {

        private final Set<VmName> frozen = new HashSet<>();
        private final List<CompletableFuture<ByteString>> held = new ArrayList<>();
        private VmName coordinator = C1;
        private Handler notices;
        private int inFlight;
        private int sent;

        private void notifyOf(VmName sender) {
            notices.handle(sender, update());
        }

        private void answerHeld() {
            held.forEach(answer -> answer.complete(update()));
        }

        @Override
        public void send(VmName recipient, MessageKind kind, ByteString body) {
            throw new AssertionError("sent a message: " + kind);
        }

        @Override
        public CompletionStage<ByteString> request(
                VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
            sent++;
            if (!frozen.contains(recipient)) {
                answered.add(recipient);
                CoordinationUpdate redirect = CoordinationUpdate.newBuilder()
                        .setCoordinator(coordinator.value())
                        .build();
                return CompletableFuture.completedFuture(
                        recipient.equals(coordinator) ? update() : redirect.toByteString());
            }
            CompletableFuture<ByteString> answer = new CompletableFuture<>();
            inFlight++;
            held.add(answer);
            time.scheduleAfterNanos(deadline.remainingNanos(time.nowNanos()), () -> {
                inFlight--;
                answer.completeExceptionally(new UnreachableException("deadline passed"));
            });
            return answer;
        }

        @Override
        public void registerHandler(MessageKind kind, Handler handler) {
            notices = handler;
        }
    }
}
