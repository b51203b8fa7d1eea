package org.borageproxy.server;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlService;
import org.borageproxy.control.FleetFake;
import org.borageproxy.server.ControlPlane.ZoneOrderResult;
import org.borageproxy.spread.StateReader;
import org.borageproxy.spread.WatchService;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.RegisterVm;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;
import org.borageproxy.wire.proto.ControlProtocol.Watch;
import org.borageproxy.wire.proto.ControlProtocol.WatchRequest;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests orders to drain and return zones in virtual time. */
class ZoneOrdersTest {

    private final FleetFake fleet = new FleetFake();
    private final ControlClient client = fleet.client("c2");
    private final ZoneOrders orders;

    ZoneOrdersTest() {
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
        StateReader reader = new StateReader(fleet.network("c2"), fleet::controlVms, fleet::nanoTime);
        orders = new ZoneOrders(new ZoneOrders.Environment(
                () -> Set.of(new AvailabilityZone("z")),
                fleet.log("c2"),
                fleet.state("c2"),
                client,
                reader::readServed));
    }

    private ZoneOrderResult order(String zone, boolean isDrain) {
        return fleet.await(orders.execute(zone, isDrain));
    }

    private static VmRecord vm(String name, boolean isControl, boolean obeysDrains) {
        return VmRecord.newBuilder()
                .setName(name)
                .setZone("z")
                .setControl(isControl)
                .setObeysDrains(obeysDrains)
                .build();
    }

    private void register(VmRecord vm) {
        fleet.await(client.submit(
                Command.newBuilder().setRegisterVm(RegisterVm.newBuilder().setVm(vm)),
                client.deadlineAfter(Duration.ofSeconds(5))));
    }

    /** Guards against an acknowledgement that the other control VMs do not know of. */
    @Test
    void acceptedOrderIsCommittedAndMayBeRepeated() {
        register(vm("e1", false, true));
        assertEquals(ZoneOrderResult.ACCEPTED, order("z", true));
        assertEquals(ZoneOrderResult.ACCEPTED, order("z", true));
        assertEquals(List.of(Set.of("z"), Set.of("z")), drainedAt("c1", "c3"));
        assertEquals(ZoneOrderResult.ACCEPTED, order("z", false));
        assertEquals(ZoneOrderResult.ACCEPTED, order("z", false));
        assertEquals(List.of(Set.of(), Set.of()), drainedAt("c1", "c3"));
    }

    private List<Set<String>> drainedAt(String one, String other) {
        return List.of(fleet.state(one).drainedZones(), fleet.state(other).drainedZones());
    }

    @Test
    void zoneOutsideTheSettingsIsUnknown() {
        assertEquals(ZoneOrderResult.UNKNOWN_ZONE, order("other", true));
        assertEquals(ZoneOrderResult.UNKNOWN_ZONE, order("", true));
        assertEquals(Set.of(), fleet.state("c2").drainedZones());
    }

    /** Guards against an operator that waits for a majority which is gone. */
    @Test
    void orderWithoutMajorityIsNotAccepted() {
        fleet.isolate("c1");
        fleet.isolate("c3");
        long startedAtNanos = fleet.nanoTime();
        ZoneOrderResult result = order("z", true);
        assertTrue(result == ZoneOrderResult.UNAVAILABLE || result == ZoneOrderResult.UNKNOWN, result.toString());
        assertTrue(fleet.nanoTime() - startedAtNanos <= Duration.ofSeconds(2).toNanos());
        assertEquals(Set.of(), fleet.state("c2").drainedZones());
    }

    /** Guards against members that compute different states from the log. */
    @Test
    void noOrderIsProposedWhileControlVmOfOldBuildIsRegistered() {
        register(vm("c3", true, false));
        assertEquals(ZoneOrderResult.UNAVAILABLE, order("z", true));
        assertEquals(ZoneOrderResult.UNAVAILABLE, order("z", false));
        register(vm("c3", true, true));
        assertEquals(ZoneOrderResult.ACCEPTED, order("z", true));
    }

    /** Guards against an acknowledged drain that an entry of an old build in contact ignores. */
    @Test
    void drainWaitsForEntriesOfOldBuildsInContact() {
        VmRecord old = vm("e1", false, false);
        register(old);
        WatchRequest watch = WatchRequest.newBuilder()
                .setWatch(Watch.newBuilder().setVm(old))
                .build();
        fleet.await(fleet.network("e1")
                .request(
                        new VmName("c1"),
                        MessageKind.STATE_WATCH,
                        watch.toByteString(),
                        client.deadlineAfter(Duration.ofSeconds(1))));
        assertEquals(ZoneOrderResult.UNAVAILABLE, order("z", true));
        assertEquals(ZoneOrderResult.ACCEPTED, order("z", false));
        fleet.run(Duration.ofSeconds(6));
        assertEquals(ZoneOrderResult.ACCEPTED, order("z", true));
    }
}
