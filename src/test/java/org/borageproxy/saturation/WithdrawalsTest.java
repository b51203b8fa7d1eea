package org.borageproxy.saturation;

import java.time.Duration;

import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class WithdrawalsTest {

    private static final int VMS = 30;
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(120);

    private final VirtualTime time = new VirtualTime(1);
    private final Withdrawals withdrawals = new Withdrawals();
    private long term = 1;

    private int withdrawnOf(int saturated) {
        int withdrawn = 0;
        for (int index = 0; index < VMS; index++) {
            Withdrawals.Decision decision =
                    withdrawals.decide(new VmName("vm" + index), index < saturated, VMS, term, time.nowNanos());
            withdrawn += decision == Withdrawals.Decision.WITHDRAWN ? 1 : 0;
        }
        time.advance(REPORT_INTERVAL);
        return withdrawn;
    }

    private void passHandover() {
        withdrawnOf(0);
        time.advance(Withdrawals.VALIDITY);
    }

    @Test
    void saturatedVmsWithdrawUpToTheStatedPart() {
        passHandover();
        assertEquals(2, withdrawnOf(2));
        assertEquals(3, withdrawnOf(6));
        assertEquals(3, withdrawnOf(6));
        assertEquals(0, withdrawnOf(0));
    }

    /** Guards against a fleet that withdraws its VMs one after another because all of them are overloaded. */
    @Test
    void saturatedFleetWithdrawsNoVm() {
        passHandover();
        withdrawnOf(VMS);
        assertEquals(0, withdrawnOf(VMS));
        assertEquals(0, withdrawals.count(time.nowNanos()));
    }

    /** Failure: a withdrawn VM is lost or isolated. Its place must become free. */
    @Test
    void withdrawalWithoutReportsExpires() {
        passHandover();
        withdrawnOf(3);
        time.advance(Withdrawals.VALIDITY);
        assertEquals(0, withdrawals.count(time.nowNanos()));
        Withdrawals.Decision decision = withdrawals.decide(new VmName("vm9"), true, VMS, term, time.nowNanos());
        assertEquals(Withdrawals.Decision.WITHDRAWN, decision);
    }

    /** Failure: the coordinator changes while VMs are withdrawn; two coordinators together must keep the part. */
    @Test
    void newCoordinatorGrantsNothingUntilEarlierWithdrawalsHaveExpired() {
        passHandover();
        withdrawnOf(3);
        term = 2;
        assertEquals(0, withdrawnOf(3));
        time.advance(Withdrawals.VALIDITY);
        assertEquals(3, withdrawnOf(3));
    }
}
