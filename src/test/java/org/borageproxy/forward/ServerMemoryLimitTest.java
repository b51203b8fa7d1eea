package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import com.google.protobuf.DynamicMessage;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotAnswer;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotRequest;
import org.borageproxy.wire.proto.CoordinationProtocol.StatedLimits;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests in virtual time that the coordinator and the entries keep to the memory of a server that has crashed. */
class ServerMemoryLimitTest {

    private static final long BODY_BYTES = 4L << 20;
    private static final int ENTRY_COUNT = 64;
    private static final Duration REFRESH = Duration.ofMillis(5);

    private final VirtualTime time = new VirtualTime(Long.MAX_VALUE - 3);
    private final List<BackendServer> servers = new ArrayList<>();
    private final ServerPool pool = pool();
    private final SlotBroker broker = new SlotBroker(new SlotBroker.Environment(
            () -> true,
            pool,
            new StreamOrigins(time::nowNanos),
            service -> Optional.empty(),
            time::nowNanos,
            (delay, task) -> time.scheduleAfterNanos(delay.toNanos(), task),
            NoDemand.INSTANCE));

    private enum NoDemand implements SlotBroker.Demand {
        INSTANCE;

        @Override
        public void addWaiting(String service, EngineWork work, Optional<String> softwareVersion, int change) {
            throw new AssertionError("waits for a model");
        }

        @Override
        public void recordMissingModel(BackendServerName server, EngineWork work) {
            throw new AssertionError("misses a model");
        }

        @Override
        public Optional<org.borageproxy.time.Deadline> availableAt(
                String service, EngineWork work, Optional<String> softwareVersion) {
            throw new AssertionError("asks for a model");
        }
    }

    private ServerPool pool() {
        servers.add(BackendServerFixture.service("large", 1));
        return new ServerPool(
                () -> List.copyOf(servers), time::nowNanos, BackendServerFixture.ZONE, new Random(1), () -> 1);
    }

    private static VmName entry(int number) {
        return new VmName("entry-" + number);
    }

    private void report(int entry, long heldBytes, long lostBytes) {
        ServerUsage usage = ServerUsage.newBuilder()
                .setName("large")
                .setIncarnation(servers.get(0).incarnation())
                .setRequests(heldBytes > 0 ? 1 : 0)
                .setHeldBytes(heldBytes)
                .setLostBytes(lostBytes)
                .build();
        broker.recordReport(
                entry(entry),
                UsageReport.newBuilder().setSession("e").addServers(usage).build());
    }

    private boolean isGranted(int entry) throws Exception {
        SlotRequest request = SlotRequest.newBuilder()
                .setZone("a")
                .setService(BackendServerFixture.SERVICE)
                .setBodyBytes(BODY_BYTES)
                .setObjectiveMillis(1_000)
                .setDeadlineMillis(5_000)
                .build();
        CompletableFuture<ByteString> answer =
                broker.handle(entry(entry), request.toByteString()).toCompletableFuture();
        return answer.isDone() && SlotAnswer.parseFrom(answer.get()).getOutcome() == SlotAnswer.Outcome.CHOSEN;
    }

    /**
     * Four entries lose a body each when the server ends; its room for three is what all of them may use afterwards.
     */
    private void crash() {
        for (int entry = 0; entry < 4; entry++) {
            report(entry, 0, BODY_BYTES);
        }
        BackendServer restarted = BackendServerFixture.restarted(servers.get(0));
        servers.set(0, restarted);
        time.advance(Duration.ofMillis(900));
        report(0, 0, 0);
        time.advance(REFRESH);
    }

    /** Load pattern: a server with room for three large bodies that 64 VMs send to. */
    @Test
    void coordinatorGrantsNoMoreThanTheServerCanHold() throws Exception {
        for (int entry = 0; entry < ENTRY_COUNT; entry++) {
            report(entry, 0, 0);
        }
        crash();
        assertTrue(pool.needsCoordinator(BackendServerFixture.SERVICE));
        int granted = 0;
        for (int entry = 0; entry < ENTRY_COUNT; entry++) {
            granted += isGranted(entry) ? 1 : 0;
        }
        assertEquals(3, granted);
    }

    /** The limit reaches entries with the stated limits, and a coordinator of another term from the entries. */
    @Test
    void limitOutlastsTheCoordinatorThatLearnedIt() {
        long versionBefore = pool.statements().version();
        crash();
        assertNotEquals(versionBefore, pool.statements().version());
        ServerStatements entry = new ServerStatements(time::nowNanos, new Random(1), () -> 0.01);
        entry.confirmReport(1);
        entry.merge(pool.statements().all());
        assertTrue(entry.isLimiting(servers.get(0)));
        entry.confirmReport(1);
        assertEquals(List.of(), entry.collectUnreported());
        entry.confirmReport(2);
        ServerStatements next = new ServerStatements(time::nowNanos, new Random(1), () -> 1);
        next.merge(entry.collectUnreported());
        assertEquals(
                pool.statements().memory().limits(time.nowNanos()),
                next.memory().limits(time.nowNanos()));
    }

    /** A VM of an older version takes the message for a statement; it must not end a limit that the server states. */
    @Test
    void olderVersionsIgnoreMessagesOnMemory() {
        crash();
        StatedLimits message = pool.statements().all().get(0);
        assertFalse(message.hasRequestsPerSecond() || message.hasRejections());
        assertTrue(message.getAgeMillis() >= Duration.ofDays(1).toMillis());
    }

    /** Guards against generated classes that disagree with their descriptor. */
    @Test
    void messagesMatchTheirDescriptors() throws Exception {
        ServerUsage usage = ServerUsage.newBuilder()
                .setName("n")
                .setAnswers(3)
                .setHeldBytes(1L << 40)
                .setLostBytes(7)
                .build();
        SlotRequest request =
                SlotRequest.newBuilder().setSoftwareVersion("v").setBodyBytes(9).build();
        StatedLimits limits =
                StatedLimits.newBuilder().setRejections(1).setHeldBytes(11).build();
        assertEquals(
                usage.toByteString(),
                DynamicMessage.parseFrom(ServerUsage.getDescriptor(), usage.toByteString())
                        .toByteString());
        assertEquals(usage, ServerUsage.parseFrom(usage.toByteString()));
        assertEquals(request, SlotRequest.parseFrom(request.toByteString()));
        assertEquals(
                limits,
                StatedLimits.parseFrom(limits.toByteString()).toBuilder().build());
        assertEquals(
                1L << 40,
                usage.getField(ServerUsage.getDescriptor().findFieldByNumber(ServerUsage.HELD_BYTES_FIELD_NUMBER)));
        assertEquals(
                9L,
                request.getField(SlotRequest.getDescriptor().findFieldByNumber(SlotRequest.BODY_BYTES_FIELD_NUMBER)));
    }
}
