package org.borageproxy.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.borageproxy.event.EventRecorder;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the propagation of updates from the VMs that receive announcements to many that do not. */
class ObserverExchangeTest {

    private static final List<VmName> CONTROL_VMS = List.of(new VmName("c-1"), new VmName("c-2"));
    private static final int SERVERS = 80;

    private final InMemoryNetwork network = new InMemoryNetwork();
    private final List<MembershipExchange> controls = new ArrayList<>();
    private final List<BackendServerRegistry> controlRegistries = new ArrayList<>();
    private final List<VmName> observers = new ArrayList<>();
    private final List<MembershipExchange> observing = new ArrayList<>();
    private final List<BackendServerRegistry> observerRegistries = new ArrayList<>();
    private long nowNanos;

    @Test
    void presenceReachesObserversImmediatelyAndModelsDoNot() {
        startFleet(3);
        announce(0, announcement(0, 1, List.of()));
        assertEquals(1, observerRegistries.get(2).current().size());
        int receivedBefore = network.receivedBytes(observers.get(2));
        announce(0, announcement(0, 2, List.of("m-1", "m-2")));
        assertEquals(receivedBefore, network.receivedBytes(observers.get(2)));
        assertEquals(2, controlRegistries.get(1).current().get(0).models().size());
        controls.get(0)
                .propagate(
                        announcement(0, 1, List.of()).name(),
                        controlRegistries
                                .get(0)
                                .leave(announcement(0, 1, List.of()).name(), 1, nowNanos));
        observerRegistries.forEach(registry -> assertEquals(
                BackendServerState.LEAVING, registry.current().get(0).state()));
    }

    @Test
    void heartbeatsKeepServersAliveAtObserversAlthoughTheirModelsChanged() {
        startFleet(1);
        announce(0, announcement(0, 1, List.of()));
        for (int sequence = 2; sequence < 20; sequence++) {
            nowNanos += 1_000_000_000L;
            announce(0, announcement(0, sequence, List.of("m-" + sequence)));
            controls.get(0).sendObservations();
            observerRegistries.get(0).sweep(nowNanos);
            assertEquals(
                    BackendServerState.ALIVE,
                    observerRegistries.get(0).current().get(0).state());
        }
    }

    @Test
    void digestRecoversPresenceAndHeartbeatsOfAnObserver() {
        startFleet(1);
        announce(0, announcement(0, 1, List.of()));
        network.isolate(observers.get(0));
        announce(0, announcement(0, 2, List.of("m-1")));
        announce(0, announcement(1, 1, List.of()));
        network.reconnect(observers.get(0));
        observing.get(0).exchangeDigests();
        observerRegistries.get(0).sweep(nowNanos);
        assertTrue(observing.get(0).isSynchronized());
        assertEquals(2, observerRegistries.get(0).current().size());
        assertEquals(2, observerRegistries.get(0).current().get(0).sequence());
    }

    /**
     * Load pattern: many engines change their adapters with each heartbeat, in fleets of 30 and of 300 VMs. The traffic
     * of an observer does not grow with the fleet, and observers exchange nothing with one another.
     */
    @Test
    void trafficOfAnObserverDoesNotDependOnTheirNumber() {
        int small = trafficOfOneObserver(25);
        int large = trafficOfOneObserver(295);
        assertEquals(small, large);
        assertEquals(Set.copyOf(CONTROL_VMS), network.senders(observers.get(0)));
        assertTrue(large < 10 * SERVERS * 80, "bytes in ten seconds: " + large);
    }

    private int trafficOfOneObserver(int count) {
        startFleet(count);
        for (int server = 0; server < SERVERS; server++) {
            announce(server % CONTROL_VMS.size(), announcement(server, 1, List.of()));
        }
        observing.get(0).exchangeDigests();
        int before = network.receivedBytes(observers.get(0));
        for (int sequence = 2; sequence < 12; sequence++) {
            nowNanos += 1_000_000_000L;
            for (int server = 0; server < SERVERS; server++) {
                announce(server % CONTROL_VMS.size(), announcement(server, sequence, List.of("m-" + sequence)));
            }
            controls.forEach(MembershipExchange::sendHeartbeats);
            controls.forEach(MembershipExchange::sendObservations);
            observing.forEach(MembershipExchange::sendHeartbeats);
        }
        return network.receivedBytes(observers.get(0)) - before;
    }

    private void startFleet(int observerCount) {
        List.of(controls, controlRegistries, observers, observing, observerRegistries)
                .forEach(List::clear);
        for (VmName control : CONTROL_VMS) {
            List<VmName> others =
                    CONTROL_VMS.stream().filter(other -> !other.equals(control)).toList();
            MembershipPeers peers = MembershipPeers.announcingTo(() -> others, () -> observers);
            controls.add(start(control, peers, controlRegistries));
        }
        IntStream.range(0, observerCount).forEach(number -> {
            VmName observer = new VmName("e-" + number);
            observing.add(start(observer, MembershipPeers.observing(() -> CONTROL_VMS), observerRegistries));
            observers.add(observer);
        });
    }

    private MembershipExchange start(VmName vm, MembershipPeers peers, List<BackendServerRegistry> registries) {
        BackendServerRegistry registry =
                new BackendServerRegistry(MembershipSettings.DEFAULT, EventRecorder.NoOp.INSTANCE);
        registries.add(registry);
        return new MembershipExchange(registry, network.at(vm), peers, () -> nowNanos, new Random(7));
    }

    private void announce(int control, Announcement announcement) {
        BackendServerRegistry registry = controlRegistries.get(control);
        controls.get(control).propagate(announcement.name(), registry.announce(announcement, nowNanos));
    }

    private static Announcement announcement(int server, long sequence, List<String> models) {
        Announcement.Content content = new Announcement.Content(
                BackendServerKind.ENGINE,
                new AvailabilityZone("a"),
                "127.0.0.1",
                1_000 + server,
                true,
                1_000,
                Set.of("engines"),
                List.of(),
                models.stream()
                        .map(model -> new LoadedModel(model, "1", "0", Set.of("a1", "a2", "a3")))
                        .toList());
        BackendServerName name = new BackendServerName(String.format("i-%08d", server));
        return new Announcement(name, 1, sequence, content, LoadReport.UNKNOWN);
    }
}
