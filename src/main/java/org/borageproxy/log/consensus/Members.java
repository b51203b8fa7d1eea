package org.borageproxy.log.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;

import org.borageproxy.wire.proto.LogProtocol.MemberList;

/**
 * The members of the control group: voters count towards majorities, learners only receive the log. No member is both.
 * Immutable and thread safe.
 *
 * @param voters the members that vote
 * @param learners the members that receive the log but do not vote
 */
public record Members(Set<MemberId> voters, Set<MemberId> learners) {

    /** A group without members, which cannot elect a leader. */
    public static final Members EMPTY = new Members(Set.of(), Set.of());

    /** Copies the sets in their order, and rejects a member that is in both. */
    public Members {
        voters = Collections.unmodifiableSet(new LinkedHashSet<>(voters));
        learners = Collections.unmodifiableSet(new LinkedHashSet<>(learners));
        for (MemberId learner : learners) {
            if (voters.contains(learner)) {
                throw new IllegalArgumentException("Member is both voter and learner: " + learner);
            }
        }
    }

    /**
     * Returns a group without learners.
     *
     * @param voters the voters
     * @return the group
     */
    public static Members ofVoters(Collection<MemberId> voters) {
        return new Members(new LinkedHashSet<>(voters), Set.of());
    }

    /**
     * Returns the member that an operator names.
     *
     * @param text the identity of a member, or the name of a VM
     * @param candidates the members to which a VM name may refer
     * @return the identity, whether or not it is a candidate, or the only candidate on the VM
     * @throws IllegalArgumentException if the VM has no candidate or several
     */
    public static MemberId resolve(String text, Collection<MemberId> candidates) {
        if (MemberId.isIdentity(text)) {
            return MemberId.parse(text);
        }
        List<MemberId> onVm = candidates.stream()
                .filter(member -> member.name().value().equals(text))
                .toList();
        if (onVm.size() != 1) {
            throw new IllegalArgumentException("Expected one member on VM " + text + ", found " + onVm);
        }
        return onVm.get(0);
    }

    /**
     * Decodes a group from its protobuf message.
     *
     * @param encoded the message
     * @return the group
     */
    public static Members decode(MemberList encoded) {
        Set<MemberId> voters = new LinkedHashSet<>();
        encoded.getVotersList().forEach(voter -> voters.add(MemberId.decode(voter)));
        Set<MemberId> learners = new LinkedHashSet<>();
        encoded.getLearnersList().forEach(learner -> learners.add(MemberId.decode(learner)));
        return new Members(voters, learners);
    }

    /**
     * Encodes this group as a protobuf message.
     *
     * @return the message
     */
    public MemberList encode() {
        MemberList.Builder list = MemberList.newBuilder();
        voters.forEach(voter -> list.addVoters(voter.encode()));
        learners.forEach(learner -> list.addLearners(learner.encode()));
        return list.build();
    }

    /**
     * Returns all members.
     *
     * @return the voters, followed by the learners
     */
    public List<MemberId> all() {
        List<MemberId> all = new ArrayList<>(voters);
        all.addAll(learners);
        return all;
    }

    /**
     * Returns the size of the smallest majority of the voters.
     *
     * @return the number of voters, one if the group has none
     */
    public int majoritySize() {
        return voters.size() / 2 + 1;
    }

    /**
     * Returns whether a set of members includes a majority of the voters.
     *
     * @param members the members; learners and other members are not counted
     * @return {@code true} for a majority; always {@code false} if the group has no voters
     */
    public boolean isMajority(Set<MemberId> members) {
        return !voters.isEmpty() && voters.stream().filter(members::contains).count() >= majoritySize();
    }

    /**
     * Returns the largest value that at least a majority of the voters has reached.
     *
     * @param value returns the value of a voter
     * @return the value, or {@link Long#MIN_VALUE} if the group has no voters
     */
    public long reachedByMajority(ToLongFunction<MemberId> value) {
        long[] sorted = voters.stream().mapToLong(value).sorted().toArray();
        return sorted.length == 0 ? Long.MIN_VALUE : sorted[sorted.length - majoritySize()];
    }

    /**
     * Returns this group with an additional learner.
     *
     * @param member the new learner, not a voter
     * @return the changed group
     */
    public Members withLearner(MemberId member) {
        Set<MemberId> changed = new LinkedHashSet<>(learners);
        changed.add(member);
        return new Members(voters, changed);
    }

    /**
     * Returns this group with a learner promoted to voter.
     *
     * @param member the learner
     * @return the changed group
     */
    public Members withVoter(MemberId member) {
        Set<MemberId> changed = new LinkedHashSet<>(voters);
        changed.add(member);
        return new Members(changed, without(learners, member));
    }

    /**
     * Returns this group without a member.
     *
     * @param member the member to remove
     * @return the changed group
     */
    public Members without(MemberId member) {
        return new Members(without(voters, member), without(learners, member));
    }

    private static Set<MemberId> without(Set<MemberId> members, MemberId member) {
        Set<MemberId> changed = new LinkedHashSet<>(members);
        changed.remove(member);
        return changed;
    }
}
