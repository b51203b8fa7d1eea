package org.borageproxy.control;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.log.MemberStatus;
import org.borageproxy.log.consensus.MemberChange;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.consensus.Members;
import org.borageproxy.log.consensus.Role;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * Decides on membership changes of the control group, one at a time and without an operator. A VM that applies under a
 * new identity has permanently lost its previous one, which is therefore removed immediately. A voter that is merely
 * unresponsive is removed after a timeout, and only if a learner that holds all committed entries can replace it at
 * once. The timeout is short if each unresponsive voter has a successor, that is, a VM that first applied after the
 * voter was last heard; otherwise the voter may be the one that a network partition cuts off, and not the one that was
 * replaced. Every member records the applications of all others, so that a new leader knows how long a voter has been
 * silent. Not thread safe.
 */
public final class AdmissionPolicy {

    /** Time after which an application that is not repeated expires. */
    private static final Duration APPLICATION_VALIDITY = Duration.ofSeconds(3);
    /** Time after which an unresponsive voter without a successor may be replaced; exceeds restarts and partitions. */
    private static final Duration VOTER_REPLACEMENT_TIMEOUT = Duration.ofSeconds(6);
    /** Time that a new leader gives the voters to answer; several intervals of heartbeats. */
    private static final Duration NEW_LEADER_TIMEOUT = Duration.ofMillis(500);
    /** The part of the catch-up time after which a voter with a successor is replaced; the rest is for the changes. */
    private static final int SUCCESSOR_TIMEOUT_DIVISOR = 2;

    private final int targetVoters;
    private final Duration successorTimeout;
    private final Map<VmName, Application> applications = new LinkedHashMap<>();
    private final Map<MemberId, Contact> contacts = new HashMap<>();

    private boolean isLeading;

    /** The latest term of this VM's member. */
    private long term;

    /** The time from which a voter that has not answered the leader of this term counts as unresponsive. */
    private Deadline voterRemovalAllowedAt = new Deadline(0);

    private record Application(MemberId member, Deadline validUntil) {}

    /**
     * The first and the last contact with a member, and the times at which it may be replaced if there is no later one.
     */
    private record Contact(
            long firstAtNanos, long lastAtNanos, Deadline replaceableBySuccessorAt, Deadline replaceableAt) {}

    /**
     * Creates a policy.
     *
     * @param targetVoters the number of voters required to tolerate the configured number of losses
     * @param catchUpTime the time after its start within which the successor of a lost VM replaces it as a voter
     */
    public AdmissionPolicy(int targetVoters, Duration catchUpTime) {
        this.targetVoters = targetVoters;
        this.successorTimeout = catchUpTime.dividedBy(SUCCESSOR_TIMEOUT_DIVISOR);
    }

    /**
     * Records the application of a VM. It counts as a contact unless this VM leads, since a leader knows which members
     * answer.
     *
     * @param member the identity of the VM's member
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    public void recordApplication(MemberId member, long nowNanos) {
        applications.put(member.name(), new Application(member, Deadline.after(nowNanos, APPLICATION_VALIDITY)));
        if (!isLeading || !contacts.containsKey(member)) {
            recordContact(member, nowNanos);
        }
    }

    private void recordContact(MemberId member, long nowNanos) {
        Contact earlier = contacts.get(member);
        contacts.put(
                member,
                new Contact(
                        earlier == null ? nowNanos : earlier.firstAtNanos(),
                        nowNanos,
                        Deadline.after(nowNanos, successorTimeout),
                        Deadline.after(nowNanos, VOTER_REPLACEMENT_TIMEOUT)));
    }

    /**
     * Records which members answered. A voter that has never been heard counts as heard at the first call. Called
     * periodically on every member, whether it leads or not.
     *
     * @param status the status of this VM's member
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    public void recordStatus(MemberStatus status, long nowNanos) {
        Members members = status.members();
        isLeading = status.role() == Role.LEADER;
        applications.values().removeIf(application -> application.validUntil().hasPassed(nowNanos));
        contacts.keySet().removeIf(member -> !members.all().contains(member) && !isApplicant(member));
        for (MemberId member : members.all()) {
            if (status.responsiveMembers().contains(member) || !contacts.containsKey(member)) {
                recordContact(member, nowNanos);
            }
        }
        if (status.term() != term) {
            term = status.term();
            voterRemovalAllowedAt = Deadline.after(nowNanos, NEW_LEADER_TIMEOUT);
        }
    }

    /**
     * Returns the next change: removal of a superseded identity, addition of a learner, promotion of a learner, or
     * removal of an unresponsive voter, in this order. Used by the leader, after {@link #recordStatus}.
     *
     * @param status the status of the leader's member
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the change, empty if none is due
     */
    public Optional<MemberChange> nextChange(MemberStatus status, long nowNanos) {
        Members members = status.members();
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
        return nextVoterChange(status, nowNanos);
    }

    /**
     * Returns whether a change removes the last member of a VM that does not apply for admission any more.
     *
     * @param change a committed change
     * @param before the members before it
     * @return {@code true} if the VM takes part in the group no longer
     */
    public boolean isVmGoneAfter(MemberChange change, Members before) {
        boolean hasOther = before.all().stream()
                .anyMatch(other -> other.name().equals(change.member().name()) && !other.equals(change.member()));
        return change instanceof MemberChange.Remove
                && !hasOther
                && !applications.containsKey(change.member().name());
    }

    /**
     * Returns the promotion of a learner, or, if there are already enough voters, the removal of a voter that it can
     * replace.
     */
    private Optional<MemberChange> nextVoterChange(MemberStatus status, long nowNanos) {
        Members members = status.members();
        Optional<MemberId> learner = members.learners().stream()
                .filter(status.upToDateMembers()::contains)
                .filter(member -> applications.containsKey(member.name()))
                .findFirst();
        if (learner.isEmpty()) {
            return Optional.empty();
        }
        if (members.voters().size() < targetVoters) {
            return learner.map(MemberChange.Promote::new);
        }
        return voterRemovalAllowedAt.hasPassed(nowNanos)
                ? replaceableVoter(status, nowNanos).map(MemberChange.Remove::new)
                : Optional.empty();
    }

    /** Returns the voter that has been silent for longest, if it may be replaced. */
    private Optional<MemberId> replaceableVoter(MemberStatus status, long nowNanos) {
        Set<MemberId> voters = status.members().voters();
        List<MemberId> unresponsive = voters.stream()
                .filter(voter -> !status.responsiveMembers().contains(voter))
                .filter(contacts::containsKey)
                .sorted(Comparator.comparing(voter -> contacts.get(voter).replaceableAt()))
                .toList();
        Optional<MemberId> longestSilent = unresponsive.stream().findFirst();
        return longestSilent.filter(voter -> {
            Contact contact = contacts.get(voter);
            long successors = applications.values().stream()
                    .map(Application::member)
                    .filter(applicant -> !voters.contains(applicant))
                    .filter(applicant -> contacts.get(applicant).firstAtNanos() - contact.lastAtNanos() > 0)
                    .count();
            Deadline deadline =
                    successors >= unresponsive.size() ? contact.replaceableBySuccessorAt() : contact.replaceableAt();
            return deadline.hasPassed(nowNanos);
        });
    }

    private boolean isApplicant(MemberId member) {
        Application application = applications.get(member.name());
        return application != null && application.member().equals(member);
    }

    private boolean isSuperseded(MemberId member) {
        Application application = applications.get(member.name());
        return application != null && !application.member().equals(member);
    }
}
