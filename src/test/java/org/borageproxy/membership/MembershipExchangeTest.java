package org.borageproxy.membership;

import java.util.List;
import java.util.Random;

import org.borageproxy.event.EventRecorder;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.proto.MembershipProtocol.MembershipMessage;
import org.borageproxy.wire.proto.MembershipProtocol.ServerUpdate;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the propagation of updates from one VM to another. */
class MembershipExchangeTest {

    private static final VmName FIRST = new VmName("vm-1");
    private static final VmName SECOND = new VmName("vm-2");

    private final InMemoryNetwork network = new InMemoryNetwork();
    private final BackendServerRegistry firstRegistry = registry();
    private final BackendServerRegistry secondRegistry = registry();
    private final MembershipExchange first = exchange(FIRST, SECOND, firstRegistry);
    private final MembershipExchange second = exchange(SECOND, FIRST, secondRegistry);

    @Test
    void joinsAndLeavesPropagateImmediately() {
        announce(announcement(1));
        assertEquals(firstRegistry.current(), secondRegistry.current());
        first.propagate(name(), firstRegistry.leave(name(), 1, 0));
        assertEquals(BackendServerState.LEAVING, secondRegistry.current().get(0).state());
    }

    @Test
    void heartbeatsPropagateInBatches() {
        announce(announcement(1));
        announce(announcement(3));
        assertEquals(1, secondRegistry.current().get(0).sequence());
        first.sendHeartbeats();
        secondRegistry.sweep(0);
        assertEquals(3, secondRegistry.current().get(0).sequence());
    }

    @Test
    void heartbeatOfUnknownServerFetchesItsContent() {
        network.isolate(SECOND);
        announce(announcement(1));
        network.reconnect(SECOND);
        announce(announcement(3));
        first.sendHeartbeats();
        firstRegistry.sweep(0);
        secondRegistry.sweep(0);
        assertEquals(firstRegistry.current(), secondRegistry.current());
    }

    @Test
    void digestExchangeRecoversLostLeave() {
        announce(announcement(1));
        network.isolate(SECOND);
        first.propagate(name(), firstRegistry.leave(name(), 1, 0));
        network.reconnect(SECOND);
        second.exchangeDigests();
        assertTrue(second.isSynchronized());
        assertEquals(BackendServerState.LEAVING, secondRegistry.current().get(0).state());
    }

    /** Guards against a restarted VM that never gets the list of servers, since the whole is more than one answer. */
    @Test
    void longListOfServersArrivesInSeveralAnswers() {
        int count = 3_000;
        network.isolate(SECOND);
        for (int number = 0; number < count; number++) {
            firstRegistry.announce(BackendServerRegistryTest.announcement(number, 1, 1), 0);
        }
        network.reconnect(SECOND);
        second.exchangeDigests();
        assertEquals(count, secondRegistry.current().size());
        assertTrue(second.isSynchronized());
        assertTrue(network.largestAnswer() < 64 << 10, network.largestAnswer() + " bytes in one answer");
    }

    /** Guards against VMs that stop following the list of servers because one entry of it is malformed. */
    @Test
    void malformedUpdateHidesNoOthers() {
        announce(announcement(1));
        ServerUpdate valid =
                MembershipCodec.encodeFull(firstRegistry.record(name()).orElseThrow(), 0);
        ServerUpdate.Builder malformed = valid.toBuilder().setName("odd");
        malformed.getContentBuilder().setPort(70_000);
        MembershipMessage message = MembershipMessage.newBuilder()
                .addUpdates(malformed)
                .addUpdates(valid.toBuilder().setName("other"))
                .build();
        network.at(FIRST).send(SECOND, MessageKind.MEMBERSHIP, message.toByteString());
        assertEquals(
                List.of(name(), new BackendServerName("other")),
                secondRegistry.current().stream()
                        .map(BackendServer::name)
                        .sorted()
                        .toList());
    }

    private void announce(Announcement announcement) {
        first.propagate(announcement.name(), firstRegistry.announce(announcement, 0));
    }

    private static Announcement announcement(long sequence) {
        return BackendServerRegistryTest.announcement(0, 1, sequence);
    }

    private static BackendServerName name() {
        return announcement(1).name();
    }

    private MembershipExchange exchange(VmName self, VmName peer, BackendServerRegistry registry) {
        MembershipPeers peers = MembershipPeers.exchangingWith(() -> List.of(peer));
        return new MembershipExchange(registry, network.at(self), peers, () -> 0L, new Random(42));
    }

    private static BackendServerRegistry registry() {
        return new BackendServerRegistry(MembershipSettings.DEFAULT, EventRecorder.NoOp.INSTANCE);
    }
}
