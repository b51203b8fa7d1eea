package org.borageproxy.control;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.log.consensus.MemberChange;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.consensus.Members;
import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdmissionPolicyTest {

    private static final long SECOND = 1_000_000_000L;
    private static final MemberId A = MemberId.initial("g", new VmName("a"));
    private static final MemberId B = MemberId.initial("g", new VmName("b"));
    private static final MemberId C = MemberId.initial("g", new VmName("c"));
    private static final MemberId D = MemberId.random(new VmName("d"));
    private final AdmissionPolicy policy = new AdmissionPolicy(5);

    @Test
    void additionalVmIsAddedAsLearnerAndThenPromotedToVoter() {
        policy.recordApplication(D, 0);
        Members founders = Members.ofVoters(List.of(A, B, C));
        Optional<MemberChange> first = policy.nextChange(founders, Set.of(A, B, C), 0);
        assertEquals(Optional.of(new MemberChange.AddLearner(D)), first);
        Optional<MemberChange> second = policy.nextChange(founders.withLearner(D), Set.of(A, B, C, D), 0);
        assertEquals(Optional.of(new MemberChange.Promote(D)), second);
        assertTrue(
                policy.nextChange(founders.withVoter(D), Set.of(A, B, C, D), 0).isEmpty());
    }

    @Test
    void oldIdentityOfVmIsRemovedBeforeItsNewIdentityIsAdded() {
        MemberId renewed = MemberId.random(new VmName("c"));
        policy.recordApplication(renewed, 0);
        Members members = Members.ofVoters(List.of(A, B, C));
        assertEquals(Optional.of(new MemberChange.Remove(C)), policy.nextChange(members, Set.of(A, B), 0));
        assertEquals(
                Optional.of(new MemberChange.AddLearner(renewed)),
                policy.nextChange(members.without(C), Set.of(A, B), 0));
    }

    @Test
    void silentVoterIsRemovedOnlyOnceALearnerIsAvailable() {
        AdmissionPolicy three = new AdmissionPolicy(1 + 2);
        Members members = Members.ofVoters(List.of(A, B, C));
        assertTrue(three.nextChange(members, Set.of(A, B), 0).isEmpty());
        assertTrue(three.nextChange(members, Set.of(A, B), 20 * SECOND).isEmpty());
        three.recordApplication(D, 20 * SECOND);
        Optional<MemberChange> change = three.nextChange(members.withLearner(D), Set.of(A, B, D), 20 * SECOND);
        assertInstanceOf(MemberChange.Remove.class, change.orElseThrow());
        assertEquals(C, change.orElseThrow().member());
    }

    @Test
    void voterThatRespondsBetweenSilencesIsNotRemoved() {
        AdmissionPolicy three = new AdmissionPolicy(3);
        Members members = Members.ofVoters(List.of(A, B, C)).withLearner(D);
        three.recordApplication(D, 0);
        three.nextChange(members, Set.of(A, B, D), 0);
        three.recordApplication(D, 4 * SECOND);
        three.nextChange(members, Set.of(A, B, C, D), 4 * SECOND);
        three.recordApplication(D, 8 * SECOND);
        assertTrue(three.nextChange(members, Set.of(A, B, D), 8 * SECOND).isEmpty());
    }
}
