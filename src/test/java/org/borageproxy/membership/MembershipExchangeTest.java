package org.borageproxy.membership;

import java.util.List;
import java.util.Random;

import org.borageproxy.event.EventRecorder;
import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that every VM learns what one VM hears. */
class MembershipExchangeTest {

    private static final VmName FIRST = new VmName("vm-1");
    private static final VmName SECOND = new VmName("vm-2");

    private final InMemoryNetwork network = new InMemoryNetwork();
    private final BackendServerRegistry firstRegistry = registry();
    private final BackendServerRegistry secondRegistry = registry();
    private final MembershipExchange first = exchange(FIRST, SECOND, firstRegistry);
    private final MembershipExchange second = exchange(SECOND, FIRST, secondRegistry);

    @Test
    void joinsAndLeavesSpreadAtOnce() {
        hear(announcement(1));
        assertEquals(firstRegistry.current(), secondRegistry.current());
        first.changed(name(), firstRegistry.leave(name(), 1, 0));
        assertEquals(BackendServerState.LEAVING, secondRegistry.current().get(0).state());
    }

    @Test
    void heartbeatsSpreadInBatches() {
        hear(announcement(1));
        hear(announcement(3));
        assertEquals(1, secondRegistry.current().get(0).sequence());
        first.sendHeartbeats();
        secondRegistry.sweep(0);
        assertEquals(3, secondRegistry.current().get(0).sequence());
    }

    @Test
    void heartbeatOfUnknownServerFetchesItsContent() {
        network.cutOff(SECOND);
        hear(announcement(1));
        network.connect(SECOND);
        hear(announcement(3));
        first.sendHeartbeats();
        firstRegistry.sweep(0);
        secondRegistry.sweep(0);
        assertEquals(firstRegistry.current(), secondRegistry.current());
    }

    @Test
    void lostLeaveIsRepairedByComparison() {
        hear(announcement(1));
        network.cutOff(SECOND);
        first.changed(name(), firstRegistry.leave(name(), 1, 0));
        network.connect(SECOND);
        second.compare();
        assertTrue(second.isSynchronised());
        assertEquals(BackendServerState.LEAVING, secondRegistry.current().get(0).state());
    }

    private void hear(Announcement announcement) {
        first.changed(announcement.name(), firstRegistry.announce(announcement, 0));
    }

    private static Announcement announcement(long sequence) {
        return BackendServerRegistryTest.announcement(0, 1, sequence);
    }

    private static BackendServerName name() {
        return announcement(1).name();
    }

    private MembershipExchange exchange(VmName self, VmName peer, BackendServerRegistry registry) {
        return new MembershipExchange(registry, network.at(self), () -> List.of(peer), () -> 0L, new Random(42));
    }

    private static BackendServerRegistry registry() {
        return new BackendServerRegistry(MembershipSettings.DEFAULT, EventRecorder.NoOp.INSTANCE);
    }
}
