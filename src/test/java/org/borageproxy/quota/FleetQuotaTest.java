package org.borageproxy.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.borageproxy.quota.TokenQuota.Decision;
import org.borageproxy.quota.VirtualFleet.Member;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.junit.jupiter.api.Test;

import static org.borageproxy.quota.VirtualFleet.MAX_CLOCK_DRIFT;
import static org.borageproxy.quota.VirtualFleet.MILLI;
import static org.borageproxy.quota.VirtualFleet.SECOND;
import static org.borageproxy.quota.VirtualFleet.workspace;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs {@link FleetQuota} on nine simulated VMs. */
class FleetQuotaTest {

    private static final long RATE = 1_000;
    private static final long BURST = 2_000;
    private static final long SMALL_BURST = 400;

    /** The outcomes of the requests of one workspace. */
    private static final class Outcome {
        private final List<Spend> spends = new ArrayList<>();
        private int refused;
        private int reserved;
        private long maxLatencyNanos;

        /** A reservation; {@code used} decreases when it is settled. */
        private static final class Spend {
            private final long atNanos;
            private long used;

            Spend(long atNanos, long used) {
                this.atNanos = atNanos;
                this.used = used;
            }
        }

        /** Returns the smallest burst for which the spending complies with the rate in every period. */
        double requiredBurst(double rate) {
            double level = 0;
            double largest = 0;
            long lastNanos = 0;
            for (Spend spend : spends) {
                level = Math.max(0, level - rate * (spend.atNanos - lastNanos) / 1e9) + spend.used;
                lastNanos = spend.atNanos;
                largest = Math.max(largest, level);
            }
            return largest;
        }
    }

    private static void request(VirtualFleet fleet, Member member, long tokens, long used, Outcome outcome) {
        long startedAtNanos = fleet.time.nowNanos();
        var vm = member.vm;
        if (!vm.isRunning()) {
            return;
        }
        Deadline deadline = new Deadline(vm.localNanos() + 3 * SECOND);
        member.quota.reserve("w", tokens, deadline).thenAccept(decision -> {
            if (decision instanceof Decision.Reserved reserved) {
                outcome.reserved++;
                outcome.maxLatencyNanos = Math.max(outcome.maxLatencyNanos, fleet.time.nowNanos() - startedAtNanos);
                Outcome.Spend spend = new Outcome.Spend(fleet.time.nowNanos(), tokens);
                outcome.spends.add(spend);
                vm.schedule(
                        () -> {
                            spend.used = used;
                            reserved.reservation().settle(used);
                        },
                        fleet.random.nextInt(1_500),
                        TimeUnit.MILLISECONDS);
            } else {
                outcome.refused++;
            }
        });
    }

    private static void awaitLeases(VirtualFleet fleet) {
        fleet.time.advanceTo(8 * SECOND);
    }

    private static void assertWithinBound(Outcome outcome, long burst) {
        double required = outcome.requiredBurst(RATE * (1 + MAX_CLOCK_DRIFT));
        assertTrue(
                required <= burst + 1,
                "required a burst of " + required + " with reservations: " + outcome.spends.size());
    }

    @Test
    void evenLoadJustUnderTheRateIsNeverRefused() {
        VirtualFleet fleet = new VirtualFleet(1, 9, workspace("w", RATE, BURST));
        awaitLeases(fleet);
        Outcome outcome = new Outcome();
        for (int index = 0; index < 2_850; index++) {
            Member member = fleet.members.get(index % 9);
            fleet.time.scheduleAfterNanos(index * 20 * MILLI, () -> request(fleet, member, 19, 19, outcome));
        }
        fleet.time.advanceTo(80 * SECOND);
        assertEquals(0, outcome.refused);
        assertEquals(2_850, outcome.reserved);
        assertTrue(outcome.maxLatencyNanos < 250 * MILLI, "slowest request took " + outcome.maxLatencyNanos);
        assertWithinBound(outcome, BURST);
    }

    @Test
    void loadBelowRateThatShiftsBetweenVmsIsNeverRefused() {
        VirtualFleet fleet = new VirtualFleet(2, 9, workspace("w", RATE, BURST));
        awaitLeases(fleet);
        Outcome outcome = new Outcome();
        for (int index = 0; index < 570; index++) {
            Member member = fleet.members.get(index / 10 % 9);
            fleet.time.scheduleAfterNanos(index * 100 * MILLI, () -> request(fleet, member, 95, 95, outcome));
        }
        fleet.time.advanceTo(80 * SECOND);
        assertEquals(0, outcome.refused);
        assertEquals(570, outcome.reserved);
        assertTrue(outcome.maxLatencyNanos < 500 * MILLI, "slowest request took " + outcome.maxLatencyNanos);
        assertWithinBound(outcome, BURST);
    }

    @Test
    void fullBurstIsAvailableAtOneVmAfterLoadOnAllVms() {
        VirtualFleet fleet = new VirtualFleet(3, 9, workspace("w", RATE, BURST));
        awaitLeases(fleet);
        Outcome outcome = new Outcome();
        for (int index = 0; index < 180; index++) {
            Member member = fleet.members.get(index % 9);
            fleet.time.scheduleAfterNanos(index * 10 * MILLI, () -> request(fleet, member, 9, 9, outcome));
        }
        fleet.time.scheduleAfterNanos(5 * SECOND, () -> request(fleet, fleet.members.get(4), BURST, BURST, outcome));
        fleet.time.advanceTo(20 * SECOND);
        assertEquals(181, outcome.reserved);
        assertTrue(outcome.maxLatencyNanos < 100 * MILLI, "slowest request took " + outcome.maxLatencyNanos);
    }

    @Test
    void unusedReservedTokensCanBeReservedAgain() {
        VirtualFleet fleet = new VirtualFleet(7, 9, workspace("w", 100, BURST));
        fleet.time.advanceTo(40 * SECOND);
        Outcome outcome = new Outcome();
        for (int round = 0; round < 4; round++) {
            for (int index = 0; index < 10; index++) {
                Member member = fleet.members.get(index % 9);
                fleet.time.scheduleAfterNanos(
                        (round * 5L + 1) * SECOND, () -> request(fleet, member, 190, 30, outcome));
            }
        }
        fleet.time.advanceTo(80 * SECOND);
        assertEquals(0, outcome.refused);
        assertEquals(40, outcome.reserved);
    }

    @Test
    void refusalsReportTheMatchingResultCode() {
        VirtualFleet fleet = new VirtualFleet(4, 3, workspace("w", RATE, BURST));
        awaitLeases(fleet);
        Member member = fleet.members.get(0);
        List<Decision> decisions = new ArrayList<>();
        Deadline shortDeadline = new Deadline(member.vm.localNanos() + 500 * MILLI);
        member.quota.reserve("w", BURST + 1, shortDeadline).thenAccept(decisions::add);
        member.quota.reserve("w", BURST, shortDeadline).thenAccept(decisions::add);
        member.quota.reserve("w", 1_500, shortDeadline).thenAccept(decisions::add);
        fleet.time.advanceTo(9 * SECOND);
        assertEquals(ResultCode.TOO_MANY_TOKENS, ((Decision.Refused) decisions.get(0)).code());
        assertTrue(decisions.get(1) instanceof Decision.Reserved);
        Decision.Refused exceeded = (Decision.Refused) decisions.get(2);
        assertEquals(ResultCode.RATE_EXCEEDED, exceeded.code());
        long waitMillis = (exceeded.retryAt().atNanos() - shortDeadline.atNanos()) / MILLI + 500;
        assertTrue(waitMillis > 1_400 && waitMillis < 1_600, "retry after " + waitMillis);
        fleet.members.forEach(each -> each.isPartitioned = each == member);
        Deadline longDeadline = new Deadline(member.vm.localNanos() + 4 * SECOND);
        String relationToOwner = fleet.ownerOf("w").orElseThrow() == member ? "owner itself" : "cut off";
        member.quota.reserve("w", 100, longDeadline).thenAccept(decisions::add);
        fleet.time.advanceTo(14 * SECOND);
        assertEquals("cut off", relationToOwner);
        assertEquals(ResultCode.QUOTA_OWNER_UNREACHABLE, ((Decision.Refused) decisions.get(3)).code());
    }

    @Test
    void requestsWithinRateAreNotRefusedWhenQuotaOwnerIsKilled() {
        VirtualFleet fleet = new VirtualFleet(5, 9, workspace("w", RATE, BURST));
        awaitLeases(fleet);
        Outcome outcome = new Outcome();
        Member owner = fleet.ownerOf("w").orElseThrow();
        List<Member> callers =
                fleet.members.stream().filter(each -> each != owner).toList();
        for (int index = 0; index < 1_000; index++) {
            Member member = callers.get(index % callers.size());
            fleet.time.scheduleAfterNanos(index * 20 * MILLI, () -> request(fleet, member, 14, 14, outcome));
        }
        fleet.time.scheduleAfterNanos(5 * SECOND, owner.vm::kill);
        fleet.time.advanceTo(60 * SECOND);
        assertWithinBound(outcome, BURST);
        assertTrue(outcome.refused == 0, "refused " + outcome.refused);
    }

    @Test
    void bucketLevelsAreHandedOverWhenOwnerShutsDown() {
        VirtualFleet fleet = new VirtualFleet(6, 9, workspace("w", RATE, BURST));
        awaitLeases(fleet);
        Member owner = fleet.ownerOf("w").orElseThrow();
        List<Boolean> closed = new ArrayList<>();
        owner.quota.closeAsync().thenRun(() -> closed.add(true));
        fleet.time.advanceTo(10 * SECOND);
        assertEquals(1, closed.size());
        assertTrue(fleet.ownerOf("w").orElseThrow() != owner);
        Outcome outcome = new Outcome();
        Member caller =
                fleet.members.stream().filter(each -> each != owner).findFirst().orElseThrow();
        request(fleet, caller, 1_900, 1_900, outcome);
        fleet.time.advanceTo(11 * SECOND);
        assertEquals(1, outcome.reserved);
        assertTrue(outcome.maxLatencyNanos < 50 * MILLI, "slowest request took " + outcome.maxLatencyNanos);
    }

    @Property(seed = "42", tries = 150)
    void spendingStaysWithinBurstAndRateUnderRandomFaults(@ForAll Random seeds) {
        VirtualFleet fleet = new VirtualFleet(seeds.nextLong(), 9, workspace("w", RATE, SMALL_BURST));
        Random random = fleet.random;
        fleet.lossRate = random.nextDouble() * 0.3;
        fleet.duplicateRate = random.nextDouble() * 0.3;
        fleet.delayedRate = random.nextDouble() * 0.2;
        Outcome outcome = new Outcome();
        for (long atNanos = 4 * SECOND; atNanos < 60 * SECOND; atNanos += (500 + random.nextInt(5_000)) * MILLI) {
            int requests = 1 + random.nextInt(40);
            for (int index = 0; index < requests; index++) {
                Member member = fleet.members.get(random.nextInt(9));
                long tokens = 1 + random.nextInt(100);
                long used = random.nextInt(4) > 0 ? tokens : random.nextInt((int) tokens + 1);
                long requestedAtNanos = atNanos + random.nextInt(300) * MILLI;
                fleet.time.scheduleAfterNanos(requestedAtNanos, () -> request(fleet, member, tokens, used, outcome));
            }
            if (random.nextInt(3) == 0) {
                fleet.time.scheduleAfterNanos(atNanos + random.nextInt(500) * MILLI, () -> injectFault(fleet));
            }
        }
        fleet.time.advanceTo(70 * SECOND);
        assertTrue(outcome.reserved > 0);
        assertWithinBound(outcome, SMALL_BURST);
    }

    private static void injectFault(VirtualFleet fleet) {
        Random random = fleet.random;
        boolean hitsOwner = random.nextBoolean();
        Member any = fleet.members.get(random.nextInt(9));
        Member member = hitsOwner ? fleet.ownerOf("w").orElse(any) : any;
        if (!member.vm.isRunning()) {
            return;
        }
        long durationNanos = random.nextInt(6_000) * MILLI;
        switch (random.nextInt(4)) {
            case 0 -> member.vm.freeze(durationNanos);
            case 1 -> {
                member.isPartitioned = true;
                fleet.time.scheduleAfterNanos(durationNanos, () -> member.isPartitioned = false);
            }
            case 2 -> member.quota.close();
            default -> {
                member.vm.kill();
                fleet.time.scheduleAfterNanos(durationNanos / 10, member::start);
            }
        }
    }
}
