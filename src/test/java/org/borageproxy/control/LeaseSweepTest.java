package org.borageproxy.control;

import java.time.Duration;
import java.util.Optional;

import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests of {@link LeaseSweep}. */
class LeaseSweepTest {

    private static final Duty DUTY = Duty.quotaShard(3);
    private static final Duration PERIOD = Duration.ofMillis(250);

    private final FleetFake fleet = new FleetFake();
    private final LeaseSweep sweep = new LeaseSweep(fleet.log("c1"), fleet.state("c1"), fleet::nanoTime);

    @BeforeEach
    void startPeriodicSweep() {
        for (VmName vm : fleet.controlVms()) {
            ControlService service =
                    new ControlService(fleet.log(vm.value()), fleet.state(vm.value()), fleet::nanoTime);
            fleet.network(vm.value()).registerHandler(MessageKind.CONTROL_COMMAND, service);
        }
        fleet.timer().schedule(PERIOD, this::sweepAndReschedule);
    }

    private void sweepAndReschedule() {
        sweep.sweep();
        fleet.timer().schedule(PERIOD, this::sweepAndReschedule);
    }

    private LeaseStore leasesOf(String vm) {
        return new ControlGroupLeaseStore(fleet.client(vm), duty -> Optional.empty());
    }

    private boolean isFree() {
        return fleet.state("c2").leases().stream()
                .allMatch(lease -> !lease.getDuty().equals(DUTY.name()) || lease.getFree());
    }

    @Test
    void sweepFreesLeaseOnlyAfterExpiryWithoutAcquireRequest() {
        Lease lease = fleet.await(leasesOf("e1").acquire(DUTY)).orElseThrow();
        assertFalse(
                fleet.runUntil(this::isFree, Duration.ofNanos(lease.expiresAt().remainingNanos(fleet.nanoTime()))));
        assertTrue(fleet.runUntil(this::isFree, Duration.ofSeconds(3)));
        Lease next = fleet.await(leasesOf("e2").acquire(DUTY)).orElseThrow();
        assertTrue(next.epoch() > lease.epoch());
    }

    @Test
    void renewedLeaseIsNotFreedBySweep() {
        LeaseStore leases = leasesOf("e1");
        for (int renewal = 0; renewal < 20; renewal++) {
            assertTrue(fleet.await(leases.acquire(DUTY)).isPresent());
            assertFalse(fleet.runUntil(this::isFree, Duration.ofSeconds(1)));
        }
    }
}
