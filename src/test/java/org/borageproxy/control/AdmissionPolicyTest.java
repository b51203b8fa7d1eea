package org.borageproxy.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.borageproxy.log.MemberStatus;
import org.borageproxy.log.consensus.MemberChange;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.consensus.Members;
import org.borageproxy.log.consensus.Role;
import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdmissionPolicyTest {

    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;
    /** The interval at which members apply and the leader decides. */
    private static final long INTERVAL = 500 * MILLISECOND;

    private static final long CHANGE = 20 * MILLISECOND;
    private static final Duration CATCH_UP_TIME = Duration.ofSeconds(4);
    private static final MemberId A = MemberId.initial("g", new VmName("a"));
    private static final MemberId B = MemberId.initial("g", new VmName("b"));
    private static final MemberId C = MemberId.initial("g", new VmName("c"));
    private static final MemberId D = MemberId.random(new VmName("d"));
    private final AdmissionPolicy policy = new AdmissionPolicy(5, CATCH_UP_TIME);

    @Test
    void additionalVmIsAddedAsLearnerAndThenPromotedToVoter() {
        policy.recordApplication(D, 0);
        Members founders = Members.ofVoters(List.of(A, B, C));
        Optional<MemberChange> first = nextChange(policy, founders, Set.of(A, B, C), 0);
        assertEquals(Optional.of(new MemberChange.AddLearner(D)), first);
        Optional<MemberChange> second = nextChange(policy, founders.withLearner(D), Set.of(A, B, C, D), 0);
        assertEquals(Optional.of(new MemberChange.Promote(D)), second);
        assertTrue(
                nextChange(policy, founders.withVoter(D), Set.of(A, B, C, D), 0).isEmpty());
    }

    @Test
    void oldIdentityOfVmIsRemovedBeforeItsNewIdentityIsAdded() {
        MemberId renewed = MemberId.random(new VmName("c"));
        policy.recordApplication(renewed, 0);
        Members members = Members.ofVoters(List.of(A, B, C));
        assertEquals(Optional.of(new MemberChange.Remove(C)), nextChange(policy, members, Set.of(A, B), 0));
        assertEquals(
                Optional.of(new MemberChange.AddLearner(renewed)),
                nextChange(policy, members.without(C), Set.of(A, B), 0));
    }

    /** Guards against control VMs that every VM asks for ever after they are gone. */
    @Test
    void vmIsGoneOnceItsLastMemberIsRemovedUnlessItAppliesAgain() {
        Members members = Members.ofVoters(List.of(A, B, C));
        MemberChange removal = new MemberChange.Remove(C);
        assertTrue(policy.isVmGoneAfter(removal, members));
        MemberId renewed = MemberId.random(new VmName("c"));
        assertFalse(policy.isVmGoneAfter(removal, members.withLearner(renewed)));
        assertFalse(policy.isVmGoneAfter(new MemberChange.Promote(C), members));
        policy.recordApplication(renewed, 0);
        assertFalse(policy.isVmGoneAfter(removal, members));
    }

    @Test
    void silentVoterIsRemovedOnlyOnceALearnerIsAvailable() {
        AdmissionPolicy three = new AdmissionPolicy(1 + 2, CATCH_UP_TIME);
        Members members = Members.ofVoters(List.of(A, B, C));
        assertTrue(nextChange(three, members, Set.of(A, B), 0).isEmpty());
        assertTrue(nextChange(three, members, Set.of(A, B), 20 * SECOND).isEmpty());
        three.recordApplication(D, 20 * SECOND);
        Optional<MemberChange> change = nextChange(three, members.withLearner(D), Set.of(A, B, D), 20 * SECOND);
        assertInstanceOf(MemberChange.Remove.class, change.orElseThrow());
        assertEquals(C, change.orElseThrow().member());
    }

    @Test
    void voterThatRespondsBetweenSilencesIsNotRemoved() {
        AdmissionPolicy three = new AdmissionPolicy(3, CATCH_UP_TIME);
        Members members = Members.ofVoters(List.of(A, B, C)).withLearner(D);
        three.recordApplication(D, 0);
        nextChange(three, members, Set.of(A, B, D), 0);
        three.recordApplication(D, 4 * SECOND);
        nextChange(three, members, Set.of(A, B, C, D), 4 * SECOND);
        three.recordApplication(D, 8 * SECOND);
        assertTrue(nextChange(three, members, Set.of(A, B, D), 8 * SECOND).isEmpty());
    }

    /** Guards against a timer of silence that begins anew with each leader. */
    @Test
    void newLeaderCountsSilenceFromLastApplicationOfVoter() {
        Members members = Members.ofVoters(List.of(A, B, C)).withLearner(D);
        AdmissionPolicy three = new AdmissionPolicy(3, CATCH_UP_TIME);
        three.recordApplication(C, 0);
        three.recordApplication(D, 1);
        three.recordStatus(follower(members, 1), SECOND);
        three.recordApplication(D, 2 * SECOND);
        MemberStatus leader = leader(members, Set.of(A, B, D), Set.of(B, D), 2);
        three.recordStatus(leader, 2 * SECOND);
        assertTrue(three.nextChange(leader, 2 * SECOND).isEmpty(), "voters have not had time to answer");
        assertEquals(Optional.of(new MemberChange.Remove(C)), three.nextChange(leader, 2 * SECOND + INTERVAL));
    }

    /** Guards against a permitted loss of two VMs after the catch-up time that takes the quorum for good. */
    @Test
    void twoReplacedVotersAreReplacedWithinCatchUpTimeThoughOneWasTheLeader() {
        MemberId e = MemberId.initial("g", new VmName("e"));
        MemberId f = MemberId.random(new VmName("f"));
        MemberId g = MemberId.initial("g", new VmName("g"));
        Members members = Members.ofVoters(List.of(A, B, C, g, e));
        long firstLostAt = 0;
        long leaderLostAt = 800 * MILLISECOND;
        long electedAt = leaderLostAt + 1_500 * MILLISECOND;
        long successorsApplyAt = leaderLostAt + 600 * MILLISECOND;
        long decidableAt = 0;
        for (long now = 0; now <= leaderLostAt + CATCH_UP_TIME.toNanos(); now += CHANGE) {
            long time = now;
            boolean isTick = now % INTERVAL == 0;
            if (isTick) {
                List.of(C, g, e).forEach(member -> policy.recordApplication(member, time));
                Stream.of(A).filter(member -> time <= firstLostAt).forEach(m -> policy.recordApplication(m, time));
                Stream.of(B).filter(member -> time <= leaderLostAt).forEach(m -> policy.recordApplication(m, time));
                Stream.of(D, f)
                        .filter(member -> time >= successorsApplyAt)
                        .forEach(member -> policy.recordApplication(member, time));
            }
            if (now < electedAt) {
                policy.recordStatus(follower(members, 1), now);
            } else if (isTick || now == decidableAt) {
                List<MemberId> alive =
                        Stream.of(C, g, e, D, f).filter(members.all()::contains).toList();
                Optional<MemberChange> change = nextChange(policy, members, Set.copyOf(alive), 2, now);
                members = change.isPresent() ? apply(members, change.get()) : members;
                decidableAt = change.isPresent() ? now + CHANGE : 0;
            }
        }
        assertEquals(Set.of(C, g, e, D, f), members.voters());
    }

    /** Guards against the removal of a voter that a partition cuts off in place of the one that was replaced. */
    @Test
    void voterIsNotRemovedEarlyWhileAnotherOneMayBeTheReplacedOne() {
        MemberId e = MemberId.initial("g", new VmName("e"));
        Members members = Members.ofVoters(List.of(A, B, C)).withVoter(e).withLearner(D);
        AdmissionPolicy four = new AdmissionPolicy(4, CATCH_UP_TIME);
        List.of(A, B, C, e).forEach(member -> four.recordApplication(member, 0));
        four.recordApplication(D, SECOND);
        assertTrue(nextChange(four, members, Set.of(A, B, D), 3 * SECOND).isEmpty());
        four.recordApplication(C, 3 * SECOND);
        four.recordApplication(D, 3 * SECOND);
        assertEquals(
                Optional.of(new MemberChange.Remove(e)),
                nextChange(four, members, Set.of(A, B, C, D), 3 * SECOND + INTERVAL));
    }

    /** Guards against the removal of a restarted voter in favour of a VM that applied before it stopped. */
    @Test
    void voterWithoutSuccessorIsNotRemovedEarly() {
        AdmissionPolicy three = new AdmissionPolicy(3, CATCH_UP_TIME);
        Members members = Members.ofVoters(List.of(A, B, C)).withLearner(D);
        three.recordApplication(D, 0);
        nextChange(three, members, Set.of(A, B, C, D), SECOND);
        three.recordApplication(D, 2 * SECOND);
        three.recordApplication(D, 4 * SECOND);
        assertTrue(nextChange(three, members, Set.of(A, B, D), 5 * SECOND).isEmpty());
    }

    /** Guards against a voter that is removed for a learner which lacks entries and cannot replace it yet. */
    @Test
    void silentVoterIsNotRemovedForLearnerThatLacksEntries() {
        AdmissionPolicy three = new AdmissionPolicy(3, CATCH_UP_TIME);
        Members members = Members.ofVoters(List.of(A, B, C)).withLearner(D);
        nextChange(three, members, Set.of(A, B, D), 0);
        three.recordApplication(D, 20 * SECOND);
        MemberStatus leader = leader(members, Set.of(A, B, D), Set.of(B), 1);
        assertTrue(three.nextChange(leader, 20 * SECOND).isEmpty());
        assertEquals(
                Optional.of(new MemberChange.Remove(C)),
                three.nextChange(leader(members, Set.of(A, B, D), Set.of(B, D), 1), 20 * SECOND));
    }

    private static Members apply(Members members, MemberChange change) {
        if (change instanceof MemberChange.AddLearner) {
            return members.withLearner(change.member());
        }
        return change instanceof MemberChange.Promote
                ? members.withVoter(change.member())
                : members.without(change.member());
    }

    private static Optional<MemberChange> nextChange(
            AdmissionPolicy policy, Members members, Set<MemberId> responsive, long nowNanos) {
        return nextChange(policy, members, responsive, 1, nowNanos);
    }

    /** Returns the next change of a leader for which all responsive members are up to date. */
    private static Optional<MemberChange> nextChange(
            AdmissionPolicy policy, Members members, Set<MemberId> responsive, long term, long nowNanos) {
        MemberStatus status = leader(members, responsive, responsive, term);
        policy.recordStatus(status, nowNanos);
        return policy.nextChange(status, nowNanos);
    }

    private static MemberStatus leader(Members members, Set<MemberId> responsive, Set<MemberId> upToDate, long term) {
        return new MemberStatus(C, Role.LEADER, term, 1, Optional.of(C), members, responsive, upToDate);
    }

    private static MemberStatus follower(Members members, long term) {
        return new MemberStatus(C, Role.FOLLOWER, term, 1, Optional.of(B), members, Set.of(), Set.of());
    }
}
