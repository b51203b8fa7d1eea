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
 * Decides how the control group grows and replaces members without an operator, one change at a time. A VM that applies
 * under a new identity has lost its old one for certain, so that the old one is removed at once. A voter that is only
 * silent is replaced after a long time, and only by a member that holds all that is committed. Not thread safe; used by
 * the leader.
 */
public final class AdmissionPolicy {

    /** How long an application counts. */
    private static final Duration APPLICATION_VALIDITY = Duration.ofSeconds(3);
    /** How long a voter is silent before a learner takes its place; longer than restarts and short cuts. */
    private static final Duration REPLACED_AFTER = Duration.ofSeconds(6);

    private final int wantedVoters;
    private final Map<VmName, Application> applications = new LinkedHashMap<>();
    private final Map<MemberId, Deadline> replacedAt = new HashMap<>();

    private record Application(MemberId member, Deadline validUntil) {}

    /**
     * Creates a policy.
     *
     * @param wantedVoters the number of voters that bears the losses which the fleet is to bear
     */
    public AdmissionPolicy(int wantedVoters) {
        this.wantedVoters = wantedVoters;
    }

    /**
     * Takes the application of a VM.
     *
     * @param member the identity of its member
     * @param nowNanos the reading of the clock
     */
    public void applied(MemberId member, long nowNanos) {
        applications.put(member.name(), new Application(member, Deadline.after(nowNanos, APPLICATION_VALIDITY)));
    }

    /**
     * Returns the next change.
     *
     * @param members the members in force
     * @param answering the members that answer the leader
     * @param nowNanos the reading of the clock
     * @return the change, empty if the group is as it should be
     */
    public Optional<MemberChange> next(Members members, Set<MemberId> answering, long nowNanos) {
        applications.values().removeIf(application -> application.validUntil().hasPassed(nowNanos));
        noteSilence(members, answering, nowNanos);
        Optional<MemberId> lost =
                members.all().stream().filter(this::isSucceeded).findFirst();
        if (lost.isPresent()) {
            return lost.map(MemberChange.Remove::new);
        }
        Optional<MemberId> newcomer = applications.values().stream()
                .map(Application::member)
                .filter(member -> !members.all().contains(member))
                .findFirst();
        if (newcomer.isPresent()) {
            return newcomer.map(MemberChange.AddLearner::new);
        }
        return promotion(members, answering, nowNanos);
    }

    private Optional<MemberChange> promotion(Members members, Set<MemberId> answering, long nowNanos) {
        Optional<MemberId> learner = members.learners().stream()
                .filter(answering::contains)
                .filter(member -> applications.containsKey(member.name()))
                .findFirst();
        if (learner.isEmpty()) {
            return Optional.empty();
        }
        if (members.voters().size() < wantedVoters) {
            return learner.map(MemberChange.Promote::new);
        }
        return members.voters().stream()
                .filter(voter ->
                        replacedAt.containsKey(voter) && replacedAt.get(voter).hasPassed(nowNanos))
                .findFirst()
                .map(MemberChange.Remove::new);
    }

    private boolean isSucceeded(MemberId member) {
        Application application = applications.get(member.name());
        return application != null && !application.member().equals(member);
    }

    private void noteSilence(Members members, Set<MemberId> answering, long nowNanos) {
        replacedAt.keySet().retainAll(members.voters());
        replacedAt.keySet().removeAll(answering);
        members.voters().stream()
                .filter(voter -> !answering.contains(voter))
                .forEach(
                        voter -> replacedAt.computeIfAbsent(voter, silent -> Deadline.after(nowNanos, REPLACED_AFTER)));
    }
}
