package org.borageproxy.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlService;
import org.borageproxy.control.FleetFake;
import org.borageproxy.control.Submission;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.ApplyTree;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.CreateKey;
import org.borageproxy.wire.proto.ControlProtocol.PublishDocument;
import org.borageproxy.wire.proto.ControlProtocol.WithdrawKey;
import org.borageproxy.wire.proto.ControlProtocol.ZoneOrder;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the propagation of changes and the freshness lease in virtual time. */
class ControlStateWatcherTest {

    private final FleetFake fleet = new FleetFake();
    private final ControlClient operator = fleet.client("operator");

    ControlStateWatcherTest() {
        for (VmName vm : fleet.controlVms()) {
            VmNetwork network = fleet.network(vm.value());
            network.registerHandler(
                    MessageKind.CONTROL_COMMAND,
                    new ControlService(fleet.log(vm.value()), fleet.state(vm.value()), fleet::nanoTime));
            network.registerHandler(
                    MessageKind.STATE_WATCH,
                    new WatchService(
                            fleet.log(vm.value()),
                            fleet.state(vm.value()),
                            fleet.client(vm.value()),
                            fleet::nanoTime,
                            fleet.timer()));
        }
    }

    private ControlStateWatcher entry(String name) {
        VmAddress address = new VmAddress(new VmName(name), new AvailabilityZone("a"), "127.0.0.1", 4000);
        ControlStateWatcher state = new ControlStateWatcher(
                address,
                fleet.network(name),
                fleet::controlVms,
                fleet::nanoTime,
                fleet.timer(),
                EventRecorder.NoOp.INSTANCE);
        state.start();
        return state;
    }

    private List<ControlStateWatcher> entries(int count) {
        List<ControlStateWatcher> entries = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            entries.add(entry("e" + number));
        }
        return entries;
    }

    private void apply(String identity, long base, String document) {
        Submission submission = fleet.await(operator.submit(
                Command.newBuilder()
                        .setApplyTree(ApplyTree.newBuilder()
                                .setChangeIdentity(identity)
                                .setBaseRevision(base)
                                .setDocument(document)),
                operator.deadlineAfter(Duration.ofSeconds(10))));
        assertTrue(submission instanceof Submission.Replied replied
                && replied.reply().hasAccepted());
    }

    private static String document(int workspaces) {
        StringBuilder document = new StringBuilder("[settings]\nrate_tokens_per_second = 5\nburst_tokens = 50\n");
        for (int number = 0; number < workspaces; number++) {
            document.append("[workspaces.w").append(number).append("]\n");
        }
        return document.toString();
    }

    @Test
    void changesReachEveryEntryWithinASecond() {
        List<ControlStateWatcher> entries = entries(9);
        apply("one", 0, document(3));
        assertTrue(fleet.runUntil(
                () -> entries.stream()
                        .allMatch(entry -> entry.current().workspaces().size() == 3),
                Duration.ofSeconds(1)));
        assertTrue(entries.stream().allMatch(entry -> entry.isFresh(fleet.nanoTime())));
        fleet.run(Duration.ofSeconds(1));
        assertEquals(9, entries.get(0).vms().size());
    }

    /** Guards against an entry that goes on with an old publication after an error in one listener. */
    @Test
    void failingListenerEndsNeitherWatchNorOtherListeners() {
        ControlStateWatcher entry = entry("e1");
        List<Long> numbers = new ArrayList<>();
        entry.subscribeDocument(document -> {
            throw new StackOverflowError("thrown by the test");
        });
        entry.subscribeDocument(document -> numbers.add(document.getNumber()));
        for (long number = 1; number <= 3; number++) {
            publish(number);
            fleet.run(Duration.ofSeconds(2));
        }
        assertEquals(List.of(1L, 2L, 3L), numbers);
        assertTrue(entry.isFresh(fleet.nanoTime()));
    }

    @Test
    void stateIsConfirmedOnlyUpToTheRequestOfTheLatestAnswer() {
        ControlStateWatcher entry = entry("e1");
        fleet.run(Duration.ofSeconds(2));
        assertTrue(entry.isConfirmedAfter(
                fleet.nanoTime() - Duration.ofMillis(1_500).toNanos()));
        fleet.isolate("e1");
        long isolatedAt = fleet.nanoTime();
        fleet.run(Duration.ofSeconds(2));
        assertFalse(entry.isConfirmedAfter(isolatedAt));
    }

    @Test
    void entryIsNotReadyUntilControlMajorityIsReachable() {
        fleet.isolate("c2");
        fleet.isolate("c3");
        ControlStateWatcher entry = entry("e1");
        fleet.run(Duration.ofSeconds(5));
        assertFalse(entry.isReady());
        fleet.reconnect("c3");
        assertTrue(fleet.runUntil(entry::isReady, Duration.ofSeconds(3)));
    }

    @Test
    void entryLosesFreshnessWithoutControlMajority() {
        ControlStateWatcher entry = entry("e1");
        apply("one", 0, document(1));
        fleet.run(Duration.ofSeconds(1));
        assertTrue(entry.isFresh(fleet.nanoTime()));
        fleet.isolate("c1");
        fleet.isolate("c2");
        long cutAt = fleet.nanoTime();
        while (fleet.nanoTime() < cutAt + Duration.ofSeconds(20).toNanos()) {
            fleet.run(Duration.ofMillis(10));
            boolean isPastLease = fleet.nanoTime() - cutAt >= ControlStateWatcher.FRESHNESS_LEASE.toNanos();
            assertFalse(isPastLease && entry.isFresh(fleet.nanoTime()));
        }
        fleet.reconnect("c1");
        assertTrue(fleet.runUntil(() -> entry.isFresh(fleet.nanoTime()), Duration.ofSeconds(3)));
    }

    @Test
    void entriesStayFreshWhileOneControlVmIsIsolated() {
        List<ControlStateWatcher> entries = entries(6);
        apply("one", 0, document(1));
        fleet.run(Duration.ofSeconds(1));
        fleet.isolate("c1");
        for (int step = 0; step < 1000; step++) {
            fleet.run(Duration.ofMillis(10));
            assertTrue(entries.stream().allMatch(entry -> entry.isFresh(fleet.nanoTime())), "step " + step);
        }
    }

    @Test
    void keyWithdrawalReachesEveryFreshEntry() {
        List<ControlStateWatcher> entries = entries(5);
        apply("one", 0, document(1));
        fleet.await(operator.submit(
                Command.newBuilder()
                        .setCreateKey(CreateKey.newBuilder()
                                .setChangeIdentity("k")
                                .setKeyIdentity("k")
                                .setDigest("d")
                                .setWorkspace("w0")),
                operator.deadlineAfter(Duration.ofSeconds(5))));
        fleet.run(Duration.ofSeconds(1));
        assertTrue(entries.stream()
                .allMatch(entry -> entry.current().keysByDigest().containsKey("d")));
        fleet.isolate("c2");
        fleet.await(operator.submit(
                Command.newBuilder().setWithdrawKey(WithdrawKey.newBuilder().setKeyIdentity("k")),
                operator.deadlineAfter(Duration.ofSeconds(5))));
        fleet.run(ControlStateWatcher.FRESHNESS_LEASE);
        for (ControlStateWatcher entry : entries) {
            boolean isWithdrawn = entry.current().keysByDigest().get("d").withdrawn();
            assertTrue(isWithdrawn || !entry.isFresh(fleet.nanoTime()));
        }
    }

    @Test
    void bytesPerEntryStayWithinLimitsAtRestAndPerChange() {

        for (int count : new int[] {4, 50}) {
            for (int workspaces : new int[] {10, 200}) {
                ControlStateWatcherTest trial = new ControlStateWatcherTest();
                trial.entries(count);
                trial.apply("one", 0, document(workspaces));
                trial.fleet.run(Duration.ofSeconds(5));
                long atRest = trial.bytesIn(Duration.ofSeconds(20)) / count / 20;
                long before = trial.fleet.bytes;
                trial.apply("two", 1, document(workspaces + 1));
                trial.fleet.run(Duration.ofSeconds(1));
                long perChange = (trial.fleet.bytes - before) / count - atRest;
                System.out.printf(
                        "event=spread-cost entries=%d workspaces=%d document_bytes=%d at_rest=%d per_change=%d%n",
                        count, workspaces, document(workspaces).length(), atRest, perChange);
                assertTrue(atRest < 1_000, "bytes per entry and second at rest: " + atRest);
                assertTrue(perChange < document(workspaces).length() + 2_000, "bytes per change: " + perChange);
            }
        }
    }

    private long bytesIn(Duration duration) {
        long before = fleet.bytes;
        fleet.run(duration);
        return fleet.bytes - before;
    }

    private void orderZone(String zone, boolean isDrain) {
        ZoneOrder order = ZoneOrder.newBuilder().setZone(zone).build();
        Submission submission = fleet.await(operator.submit(
                isDrain
                        ? Command.newBuilder().setDrainZone(order)
                        : Command.newBuilder().setReturnZone(order),
                operator.deadlineAfter(Duration.ofSeconds(10))));
        assertTrue(submission instanceof Submission.Replied replied
                && replied.reply().hasDone());
    }

    /** Guards against VMs that learn of a drain or of its end later than within the five seconds they have. */
    @Test
    void drainReachesEveryVmInContact() {
        List<ControlStateWatcher> entries = entries(30);
        fleet.run(Duration.ofSeconds(2));
        orderZone("z", true);
        Set<AvailabilityZone> drained = Set.of(new AvailabilityZone("z"));
        assertTrue(fleet.runUntil(
                () -> entries.stream().allMatch(entry -> entry.drainedZones().equals(drained)), Duration.ofSeconds(1)));
        orderZone("z", false);
        assertTrue(fleet.runUntil(
                () -> entries.stream().allMatch(entry -> entry.drainedZones().isEmpty()), Duration.ofSeconds(1)));
    }

    /** Guards against a starting VM that serves callers by a publication before it knows the drains. */
    @Test
    void drainsAreKnownBeforeThePublication() {
        orderZone("z", true);
        publish(1);
        ControlStateWatcher entry = entry("e1");
        List<Integer> knownDrains = new ArrayList<>();
        entry.subscribeDocument(document -> knownDrains.add(entry.drainedZones().size()));
        assertTrue(fleet.runUntil(() -> !knownDrains.isEmpty(), Duration.ofSeconds(3)));
        assertEquals(List.of(1), knownDrains);
    }

    private void publish(long number) {
        fleet.await(operator.submit(
                Command.newBuilder()
                        .setPublishDocument(PublishDocument.newBuilder().setNumber(number)),
                operator.deadlineAfter(Duration.ofSeconds(10))));
    }

    /** Guards against a VM that stops serving because it cannot learn of drains while it is cut off. */
    @Test
    void vmThatIsCutOffStaysInformed() {
        ControlStateWatcher entry = entry("e1");
        assertFalse(entry.isInformed());
        fleet.run(Duration.ofSeconds(2));
        fleet.isolate("e1");
        for (int step = 0; step < 200; step++) {
            fleet.run(Duration.ofMillis(50));
            assertTrue(entry.isInformed(), "after " + step + " steps");
        }
    }

    /** Guards against VMs that flood control VMs which do not answer, or are slow to find those that do again. */
    @Test
    void vmWithoutAnswersAsksEachControlVmAboutOnceASecond() {
        ControlStateWatcher entry = entry("e1");
        fleet.run(Duration.ofSeconds(2));
        fleet.controlVms().forEach(vm -> fleet.silence(vm.value()));
        fleet.run(Duration.ofSeconds(2));
        int before = fleet.requestCount("e1", MessageKind.STATE_WATCH);
        fleet.run(Duration.ofSeconds(20));
        int sent = fleet.requestCount("e1", MessageKind.STATE_WATCH) - before;
        assertTrue(sent <= 20 * fleet.controlVms().size(), sent + " requests in 20 s");
        assertFalse(entry.isFresh(fleet.nanoTime()));
        fleet.controlVms().forEach(vm -> fleet.unsilence(vm.value()));
        assertTrue(fleet.runUntil(() -> entry.isFresh(fleet.nanoTime()), Duration.ofMillis(1_500)));
    }

    /** Guards against a VM that resumes from a freeze and sends to a zone that was drained meanwhile. */
    @Test
    void frozenVmIsNotInformedUntilItHasAskedAgain() {
        ControlStateWatcher entry = entry("e1");
        fleet.run(Duration.ofSeconds(2));
        fleet.freeze(Duration.ofSeconds(6));
        assertFalse(entry.isInformed());
        fleet.runUntil(entry::isInformed, Duration.ofSeconds(2));
        assertTrue(entry.isFresh(fleet.nanoTime()));
    }
}
