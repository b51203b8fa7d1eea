package org.borageproxy.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.log.consensus.MemberChange;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.consensus.Members;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * Decides on membership changes of the control group, one at a time and without an operator. A VM that applies under a
 * new identity has permanently lost its previous one, which is therefore removed immediately. A voter that is merely
 * unresponsive is removed after a timeout, and only if a responsive learner is available to replace it. A learner
 * becomes a voter only once it holds all committed entries. Not thread safe; used by the leader.
 */
public final class AdmissionPolicy {

    /** Time after which an application that is not repeated expires. */
    private static final Duration APPLICATION_VALIDITY = Duration.ofSeconds(3);
    /** Time after which an unresponsive voter may be replaced; exceeds restarts and short network partitions. */
    private static final Duration VOTER_REPLACEMENT_TIMEOUT = Duration.ofSeconds(6);

    private final int targetVoters;
    private final Map<VmName, Application> applications = new LinkedHashMap<>();
    private final Map<MemberId, Deadline> replaceableAt = new HashMap<>();

    private record Application(MemberId member, Deadline validUntil) {}

    /**
     * Creates a policy.
     *
     * @param targetVoters the number of voters required to tolerate the configured number of losses
     */
    public AdmissionPolicy(int targetVoters) {
        this.targetVoters = targetVoters;
    }

    /**
     * Records the application of a VM.
     *
     * @param member the identity of the VM's member
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    public void recordApplication(MemberId member, long nowNanos) {
        applications.put(member.name(), new Application(member, Deadline.after(nowNanos, APPLICATION_VALIDITY)));
    }

    /**
     * Returns the next change: removal of a superseded identity, addition of a learner, promotion of a learner, or
     * removal of an unresponsive voter, in this order.
     *
     * @param members the members in force
     * @param responsive the members that respond to the leader
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the change, empty if none is due
     */
    public Optional<MemberChange> nextChange(Members members, Set<MemberId> responsive, long nowNanos) {
        applications.values().removeIf(application -> application.validUntil().hasPassed(nowNanos));
        updateUnresponsiveVoters(members, responsive, nowNanos);
        Optional<MemberId> superseded =
                members.all().stream().filter(this::isSuperseded).findFirst();
        if (superseded.isPresent()) {
            return superseded.map(MemberChange.Remove::new);
        }
        Optional<MemberId> applicant = applications.values().stream()
                .map(Application::member)
                .filter(member -> !members.all().contains(member))
                .findFirst();
        if (applicant.isPresent()) {
            return applicant.map(MemberChange.AddLearner::new);
        }
        return nextVoterChange(members, responsive, nowNanos);
    }

    /**
     * Returns the promotion of a responsive learner, or, if there are already enough voters, the removal of a voter
     * that it can replace.
     */
    private Optional<MemberChange> nextVoterChange(Members members, Set<MemberId> responsive, long nowNanos) {
        Optional<MemberId> learner = members.learners().stream()
                .filter(responsive::contains)
                .filter(member -> applications.containsKey(member.name()))
                .findFirst();
        if (learner.isEmpty()) {
            return Optional.empty();
        }
        if (members.voters().size() < targetVoters) {
            return learner.map(MemberChange.Promote::new);
        }
        return members.voters().stream()
                .filter(voter -> replaceableAt.containsKey(voter)
                        && replaceableAt.get(voter).hasPassed(nowNanos))
                .findFirst()
                .map(MemberChange.Remove::new);
    }

    private boolean isSuperseded(MemberId member) {
        Application application = applications.get(member.name());
        return application != null && !application.member().equals(member);
    }

    private void updateUnresponsiveVoters(Members members, Set<MemberId> responsive, long nowNanos) {
        replaceableAt.keySet().retainAll(members.voters());
        replaceableAt.keySet().removeAll(responsive);
        members.voters().stream()
                .filter(voter -> !responsive.contains(voter))
                .forEach(voter -> replaceableAt.computeIfAbsent(
                        voter, unresponsive -> Deadline.after(nowNanos, VOTER_REPLACEMENT_TIMEOUT)));
    }
}
