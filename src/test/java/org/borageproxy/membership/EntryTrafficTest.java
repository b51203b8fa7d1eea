package org.borageproxy.membership;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import org.borageproxy.control.ControlService;
import org.borageproxy.control.FleetFake;
import org.borageproxy.control.Timer;
import org.borageproxy.coordination.CoordinationClient;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.spread.ControlStateWatcher;
import org.borageproxy.spread.WatchService;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Counts in virtual time what one entry receives and how often it wakes up in fleets of 30 and 100 VMs. Guards against
 * messages that go to all VMs, or grow with the number of VMs, which let the CPU time of a day grow with its square.
 */
class EntryTrafficTest {

    private static final int SMALL = 30;
    private static final int LARGE = 100;
    private static final int SERVERS = 45;
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(1200);
    private static final Duration START_INTERVAL = Duration.ofMillis(50);
    /** The largest difference between the fleets, from the requirement on CPU time. */
    private static final double TOLERANCE = 0.1;

    /** Load pattern: an entry without requests. */
    @Test
    void idleEntryCostsTheSameInLargeFleet() {
        assertSameCost(0);
    }

    /** Load pattern: two requests a second at each entry, each of which begins and ends with an urgent report. */
    @Test
    void entryWithTwoRequestsPerSecondCostsTheSameInLargeFleet() {
        assertSameCost(2);
    }

    /** Load pattern: 30 or 100 VMs that register one after the other, 20 a second, while the entry runs. */
    @Test
    void registrationsOfOthersDoNotWakeAnEntry() {
        long alone = new Fleet(1, 0).observed.wakeUpsIn(START_INTERVAL.multipliedBy(LARGE));
        Fleet starting = new Fleet(1, 0);
        starting.startEntries(2, LARGE);
        long among = starting.observed.wakeUpsIn(START_INTERVAL.multipliedBy(LARGE));
        assertEquals(1, (double) among / alone, TOLERANCE, "wake-ups: " + alone + " and " + among);
    }

    private static void assertSameCost(int requestsPerSecond) {
        Cost small = new Fleet(SMALL, requestsPerSecond).measure();
        Cost large = new Fleet(LARGE, requestsPerSecond).measure();
        System.out.printf(
                "event=entry-traffic requests_per_second=%d small=%s large=%s%n", requestsPerSecond, small, large);
        assertEquals(1, (double) large.messages() / small.messages(), TOLERANCE, "messages: " + small + large);
        assertEquals(1, (double) large.wakeUps() / small.wakeUps(), TOLERANCE, "wake-ups: " + small + large);
        assertEquals(1, (double) large.bytes() / small.bytes(), TOLERANCE, "bytes: " + small + large);
    }

    /** Messages sent and received, wake-ups and bytes of message bodies of one entry in twenty seconds. */
    private record Cost(long messages, long wakeUps, long bytes) {}

    /** A control group of three VMs, entries, and backend servers that announce themselves to the control VMs. */
    private static final class Fleet {

        private static final Duration MEASURED = Duration.ofSeconds(20);

        private final FleetFake fake = new FleetFake();
        private final int requestsPerSecond;
        private final ObservedEntry observed;
        private int entryCount;

        Fleet(int size, int newRequestsPerSecond) {
            requestsPerSecond = newRequestsPerSecond;
            fake.controlVms().forEach(this::startControl);
            observed = new ObservedEntry();
            startEntries(2, size);
            fake.run(START_INTERVAL.multipliedBy(size).plusSeconds(5));
        }

        private Cost measure() {
            observed.reset();
            fake.run(MEASURED);
            return new Cost(observed.messages, observed.wakeUps, observed.bytes);
        }

        private void startControl(VmName vm) {
            VmNetwork network = fake.network(vm.value());
            network.registerHandler(
                    MessageKind.CONTROL_COMMAND,
                    new ControlService(fake.log(vm.value()), fake.state(vm.value()), fake::nanoTime));
            network.registerHandler(
                    MessageKind.STATE_WATCH,
                    new WatchService(
                            fake.log(vm.value()),
                            fake.state(vm.value()),
                            fake.client(vm.value()),
                            fake::nanoTime,
                            fake.timer()));
            network.registerHandler(
                    MessageKind.COORDINATION,
                    (sender, body) -> CompletableFuture.completedFuture(CoordinationUpdate.newBuilder()
                            .setCoordinates(vm.value().equals("c1"))
                            .setCoordinator("c1")
                            .setEntries(entryCount)
                            .build()
                            .toByteString()));
            ControlStateWatcher watcher = watcher(vm.value(), true, network, fake.timer());
            List<VmName> others = fake.controlVms().stream()
                    .filter(other -> !other.equals(vm))
                    .toList();
            BackendServerRegistry registry =
                    new BackendServerRegistry(MembershipSettings.DEFAULT, EventRecorder.NoOp.INSTANCE);
            MembershipExchange exchange = new MembershipExchange(
                    registry,
                    network,
                    MembershipPeers.announcingTo(() -> others, watcher::registeredDataPlaneVms),
                    fake::nanoTime,
                    new Random(1));
            int position = fake.controlVms().indexOf(vm);
            for (int server = position;
                    server < SERVERS;
                    server += fake.controlVms().size()) {
                announcePeriodically(registry, exchange, server, 1);
            }
            repeat(Duration.ofMillis(250), exchange::sendHeartbeats);
            repeat(Duration.ofSeconds(1), exchange::sendObservations);
        }

        private void announcePeriodically(
                BackendServerRegistry registry, MembershipExchange exchange, int server, long sequence) {
            Announcement announcement = announcement(server, sequence);
            exchange.propagate(announcement.name(), registry.announce(announcement, fake.nanoTime()));
            fake.timer()
                    .schedule(HEARTBEAT_INTERVAL, () -> announcePeriodically(registry, exchange, server, sequence + 1));
        }

        private static Announcement announcement(int server, long sequence) {
            Announcement.Content content = new Announcement.Content(
                    BackendServerKind.ENGINE,
                    new AvailabilityZone("a"),
                    "127.0.0.1",
                    1_000 + server,
                    true,
                    (int) HEARTBEAT_INTERVAL.toMillis(),
                    Set.of("engines"),
                    List.of(),
                    List.of());
            BackendServerName name = new BackendServerName(String.format("i-%04d", server));
            return new Announcement(name, 1, sequence, content, LoadReport.UNKNOWN);
        }

        private void repeat(Duration interval, Runnable task) {
            fake.timer().schedule(interval, () -> {
                task.run();
                repeat(interval, task);
            });
        }

        private void startEntries(int first, int last) {
            for (int number = first; number <= last; number++) {
                String name = "e" + number;
                fake.timer().schedule(START_INTERVAL.multipliedBy(number - first), () -> {
                    entryCount++;
                    watcher(name, false, fake.network(name), fake.timer());
                });
            }
        }

        private ControlStateWatcher watcher(String name, boolean isControl, VmNetwork network, Timer timer) {
            VmAddress address = new VmAddress(new VmName(name), new AvailabilityZone("a"), "127.0.0.1", 4000);
            ControlStateWatcher watcher = new ControlStateWatcher(
                    address, isControl, network, fake::controlVms, fake::nanoTime, timer, EventRecorder.NoOp.INSTANCE);
            watcher.start();
            return watcher;
        }

        /** The entry {@code e1}, whose messages and timers are counted. */
        private final class ObservedEntry {

            private long messages;
            private long wakeUps;
            private long bytes;

            ObservedEntry() {
                entryCount++;
                VmNetwork network = new CountingNetwork(fake.network("e1"));
                Timer timer = (delay, task) -> fake.timer().schedule(delay, () -> {
                    wakeUps++;
                    task.run();
                });
                watcher("e1", false, network, timer);
                MembershipExchange exchange = new MembershipExchange(
                        new BackendServerRegistry(MembershipSettings.DEFAULT, EventRecorder.NoOp.INSTANCE),
                        network,
                        MembershipPeers.observing(fake::controlVms),
                        fake::nanoTime,
                        new Random(2));
                exchange.exchangeDigests();
                repeat(Duration.ofSeconds(2), exchange::exchangeDigests);
                CoordinationClient coordination = new CoordinationClient(
                        network,
                        fake::controlVms,
                        fake::nanoTime,
                        timer,
                        Runnable::run,
                        this::report,
                        (update, reportedAtNanos) -> {});
                coordination.start();
                if (requestsPerSecond > 0) {
                    repeat(Duration.ofMillis(1000 / requestsPerSecond / 2), coordination::requestUrgentReport);
                }
            }

            private UsageReport report() {
                UsageReport.Builder report = UsageReport.newBuilder();
                if (requestsPerSecond > 0) {
                    report.addServers(ServerUsage.newBuilder().setName("s").setRequests(1));
                }
                return report.build();
            }

            private void reset() {
                messages = 0;
                wakeUps = 0;
                bytes = 0;
            }

            private long wakeUpsIn(Duration duration) {
                reset();
                fake.run(duration);
                return wakeUps;
            }

            private void count(ByteString body, boolean isReceived) {
                messages++;
                bytes += body.size();
                wakeUps += isReceived ? 1 : 0;
            }

            /** Counts the messages that the entry sends and receives, including answers. */
            private final class CountingNetwork implements VmNetwork {

                private final VmNetwork network;

                CountingNetwork(VmNetwork newNetwork) {
                    network = newNetwork;
                }

                @Override
                public void send(VmName recipient, MessageKind kind, ByteString body) {
                    count(body, false);
                    network.send(recipient, kind, body);
                }

                @Override
                public CompletionStage<ByteString> request(
                        VmName recipient, MessageKind kind, ByteString body, Deadline deadline) {
                    count(body, false);
                    return network.request(recipient, kind, body, deadline).whenComplete((answer, failure) -> {
                        if (failure == null) {
                            count(answer, true);
                        }
                    });
                }

                @Override
                public void registerHandler(MessageKind kind, Handler handler) {
                    network.registerHandler(kind, (sender, body) -> {
                        count(body, true);
                        return handler.handle(sender, body);
                    });
                }
            }
        }
    }
}
