package org.borageproxy.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.borageproxy.execution.ClaimDecision;
import org.borageproxy.execution.ClaimKey;
import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.proto.ControlProtocol.ApplyTree;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.WithdrawKey;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests commands, claims and leases over a lossy network in virtual time. */
class ControlClientTest {

    private final FleetFake fleet = new FleetFake();
    private final ControlClient client = fleet.client("e1");

    ControlClientTest() {
        for (VmName vm : fleet.controlVms()) {
            fleet.network(vm.value())
                    .registerHandler(
                            MessageKind.CONTROL_COMMAND,
                            new ControlService(fleet.log(vm.value()), fleet.state(vm.value()), fleet::nanoTime));
        }
    }

    @Test
    void submissionFromIsolatedClientHasUnknownOutcome() {
        fleet.isolate("e1");
        Command.Builder command =
                Command.newBuilder().setWithdrawKey(WithdrawKey.newBuilder().setKeyIdentity("k"));
        assertInstanceOf(
                Submission.Unknown.class,
                fleet.await(client.submit(command, client.deadlineAfter(Duration.ofSeconds(3)))));
    }

    @Test
    void retriedClaimIsGrantedOnceWhenFirstReplyIsLost() {
        fleet.dropNextCommandAnswer = true;
        ClaimKey key = new ClaimKey("w", "k");
        ControlGroupClaimStore claims = new ControlGroupClaimStore(client);
        ClaimDecision decision = fleet.await(claims.claim(key, "d", 0, client.deadlineAfter(Duration.ofSeconds(20))));
        ClaimDecision.Granted granted = assertInstanceOf(ClaimDecision.Granted.class, decision);
        assertEquals(1, granted.epoch());
        ControlGroupClaimStore others = new ControlGroupClaimStore(fleet.client("e2"));
        assertInstanceOf(
                ClaimDecision.InProgress.class,
                fleet.await(others.claim(key, "d", 0, client.deadlineAfter(Duration.ofSeconds(20)))));
    }

    @Test
    void changeIsAppliedOnceWhenLeaderIsIsolatedBeforeReplyArrives() {
        fleet.dropNextCommandAnswer = true;
        Command.Builder command = Command.newBuilder()
                .setApplyTree(ApplyTree.newBuilder().setChangeIdentity("one").setDocument("x"));
        CompletionStage<Submission> outcome = client.submit(command, client.deadlineAfter(Duration.ofSeconds(10)));
        assertTrue(fleet.runUntil(() -> !fleet.dropNextCommandAnswer, Duration.ofSeconds(5)));
        fleet.isolate("c1");
        Submission.Replied replied = assertInstanceOf(Submission.Replied.class, fleet.await(outcome));
        assertEquals(1, replied.reply().getAccepted().getRevision());
        assertEquals(1, fleet.state("c2").revisions().size());
    }

    @Test
    void dispatchPeriodStartsWhenClaimIsFirstSent() {
        long sentAt = fleet.nanoTime();
        fleet.dropNextCommandAnswer = true;
        ClaimDecision decision = fleet.await(new ControlGroupClaimStore(client)
                .claim(new ClaimKey("w", "k"), "d", 0, client.deadlineAfter(Duration.ofSeconds(20))));
        long end = ((ClaimDecision.Granted) decision).dispatchDeadline().atNanos();
        assertTrue(end - sentAt <= Duration.ofMillis(3000).toNanos());
    }

    @Test
    void secondVmAcquiresLeaseWithHigherEpochOnlyAfterExpiry() {
        ControlGroupLeaseStore one = new ControlGroupLeaseStore(client, duty -> Optional.empty());
        ControlGroupLeaseStore two = new ControlGroupLeaseStore(fleet.client("e2"), duty -> Optional.empty());
        Lease first = fleet.await(one.acquire(Duty.PLACEMENT)).orElseThrow();
        fleet.isolate("e1");
        Optional<Lease> second = Optional.empty();
        for (int attempt = 0; attempt < 200 && second.isEmpty(); attempt++) {
            second = fleet.await(two.acquire(Duty.PLACEMENT));
            assertTrue(second.isEmpty() || first.expiresAt().hasPassed(fleet.nanoTime()));
            fleet.run(Duration.ofMillis(100));
        }
        assertTrue(second.orElseThrow().epoch() > first.epoch());
    }

    @Test
    void leaseIsNotGrantedToSecondVmBeforeExpiryWhenLeaderChanges() {
        ControlGroupLeaseStore one = new ControlGroupLeaseStore(client, duty -> Optional.empty());
        ControlGroupLeaseStore two = new ControlGroupLeaseStore(fleet.client("e2"), duty -> Optional.empty());
        Optional<Lease> held = fleet.await(one.acquire(Duty.PLACEMENT));
        for (int step = 0; step < 100; step++) {
            if (step == 15) {
                fleet.isolate("c1");
            }
            boolean isHeld = held.map(lease -> !lease.expiresAt().hasPassed(fleet.nanoTime()))
                    .orElse(false);
            Optional<Lease> other = fleet.await(two.acquire(Duty.PLACEMENT));
            assertTrue(
                    !isHeld || other.isEmpty() || held.orElseThrow().expiresAt().hasPassed(fleet.nanoTime()));
            if (other.isPresent()) {
                return;
            }
            fleet.run(Duration.ofMillis(100));
        }
        throw new AssertionError("The duty was not acquired by the second VM");
    }
}
