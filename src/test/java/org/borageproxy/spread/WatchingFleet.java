package org.borageproxy.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
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
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.PublishDocument;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Three control VMs, any number that are gone, and entries that watch them, in virtual time. Not thread safe. */
final class WatchingFleet {

    /** Time within which a VM in touch obeys an acknowledged publication. */
    static final Duration APPLY_TIME = Duration.ofSeconds(2);

    final FleetFake fleet = new FleetFake();
    private final ControlClient operator = fleet.client("operator");
    private final List<VmName> controlVms;

    /**
     * Creates a fleet.
     *
     * @param goneCount the number of control VMs that are listed first and will never answer
     */
    WatchingFleet(int goneCount) {
        controlVms = new ArrayList<>(IntStream.range(0, goneCount)
                .mapToObj(number -> new VmName("g" + number))
                .toList());
        controlVms.addAll(fleet.controlVms());
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

    /** A watching VM and the numbers of the publications that it has obeyed, in their order. */
    record Entry(ControlStateWatcher watcher, List<Long> obeyed) {

        long newest() {
            return obeyed.isEmpty() ? 0 : obeyed.get(obeyed.size() - 1);
        }

        boolean neverWentBack() {
            return IntStream.range(1, obeyed.size()).allMatch(index -> obeyed.get(index) > obeyed.get(index - 1));
        }
    }

    Entry entry(String name) {
        VmAddress address = new VmAddress(new VmName(name), new AvailabilityZone("a"), "127.0.0.1", 4000);
        ControlStateWatcher watcher = new ControlStateWatcher(
                address,
                fleet.network(name),
                () -> controlVms,
                fleet::nanoTime,
                fleet.timer(),
                EventRecorder.NoOp.INSTANCE);
        List<Long> obeyed = new ArrayList<>();
        watcher.subscribeDocument(document -> obeyed.add(document.getNumber()));
        watcher.start();
        return new Entry(watcher, obeyed);
    }

    VmName watchedBy(String entry) {
        return fleet.lastRecipient(entry, MessageKind.STATE_WATCH);
    }

    void submit(Command.Builder command) {
        Submission submission = fleet.await(operator.submit(command, operator.deadlineAfter(Duration.ofSeconds(10))));
        assertTrue(submission instanceof Submission.Replied);
    }

    void publish(long number, ByteString content) {
        submit(Command.newBuilder()
                .setPublishDocument(
                        PublishDocument.newBuilder().setNumber(number).setContent(content)));
    }

    /** Returns the time until an entry obeys a publication, or more than the bound if it does not. */
    Duration timeUntilObeyed(Entry entry, long number, Duration bound) {
        long beganAtNanos = fleet.nanoTime();
        fleet.runUntil(() -> entry.newest() >= number, bound.plusMillis(1));
        return entry.newest() >= number ? Duration.ofNanos(fleet.nanoTime() - beganAtNanos) : bound.plusMillis(1);
    }

    /** Returns content that no compression makes smaller. */
    static ByteString randomContent(long seed, int size) {
        byte[] bytes = new byte[size];
        new Random(seed).nextBytes(bytes);
        return ByteString.copyFrom(bytes);
    }

    /** Returns a document of routes like those that operators publish. */
    static ByteString routes(int count, int changedRoute) {
        StringBuilder document = new StringBuilder("{\"Version\": " + changedRoute + ", \"Routes\": [");
        for (int number = 0; number < count; number++) {
            document.append("{\"Host\": \"host").append(Integer.toHexString(number * 0x9E3779B1));
            document.append(".example\", \"Prefix\": \"/path").append(number);
            document.append("/\", \"Split\": [{\"Service\": \"")
                    .append(number == changedRoute ? "other" : "service")
                    .append("\", \"Weight\": 1}], \"TimeoutMs\": ")
                    .append(1000 + number % 7)
                    .append(", \"MaxAttempts\": 3, \"Public\": false, \"Kind\": \"safe\", \"Priority\": 2},\n");
        }
        return ByteString.copyFromUtf8(document.append("]}").toString());
    }
}
