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
 * @param learners the members that only receive the log
 */
public record Members(Set<MemberId> voters, Set<MemberId> learners) {

    /** A group without members. */
    public static final Members EMPTY = new Members(Set.of(), Set.of());

    /** Copies the sets and refuses a member in both. */
    public Members {
        voters = Collections.unmodifiableSet(new LinkedHashSet<>(voters));
        learners = Collections.unmodifiableSet(new LinkedHashSet<>(learners));
        for (MemberId learner : learners) {
            if (voters.contains(learner)) {
                throw new IllegalArgumentException("Both voter and learner: " + learner);
            }
        }
    }

    /**
     * Returns a group of voters.
     *
     * @param voters the voters
     * @return the group
     */
    public static Members ofVoters(Collection<MemberId> voters) {
        return new Members(new LinkedHashSet<>(voters), Set.of());
    }

    /**
     * Decodes a group.
     *
     * @param encoded the encoded group
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
     * Encodes this group.
     *
     * @return the encoded group
     */
    public MemberList encode() {
        MemberList.Builder list = MemberList.newBuilder();
        voters.forEach(voter -> list.addVoters(voter.encode()));
        learners.forEach(learner -> list.addLearners(learner.encode()));
        return list.build();
    }

    /**
     * Returns every member.
     *
     * @return voters, then learners
     */
    public List<MemberId> all() {
        List<MemberId> all = new ArrayList<>(voters);
        all.addAll(learners);
        return all;
    }

    /**
     * Returns how many voters make a majority.
     *
     * @return the size of the smallest majority
     */
    public int majoritySize() {
        return voters.size() / 2 + 1;
    }

    /**
     * Tells whether a set of members holds a majority of the voters.
     *
     * @param members the members
     * @return {@code true} for a majority
     */
    public boolean isMajority(Set<MemberId> members) {
        return !voters.isEmpty() && voters.stream().filter(members::contains).count() >= majoritySize();
    }

    /**
     * Returns the largest value that a majority of the voters reached.
     *
     * @param value the value of a voter
     * @return the largest value that holds for a majority
     */
    public long reachedByMajority(ToLongFunction<MemberId> value) {
        long[] sorted = voters.stream().mapToLong(value).sorted().toArray();
        return sorted.length == 0 ? Long.MIN_VALUE : sorted[sorted.length - majoritySize()];
    }

    /**
     * Returns this group with one more learner.
     *
     * @param member the learner
     * @return the changed group
     */
    public Members withLearner(MemberId member) {
        Set<MemberId> changed = new LinkedHashSet<>(learners);
        changed.add(member);
        return new Members(voters, changed);
    }

    /**
     * Returns this group with a learner made a voter.
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
     * @param member the member that leaves
     * @return the changed group
     */
    public Members without(MemberId member) {
        return new Members(without(voters, member), without(learners, member));
    }

    /**
     * Returns a set without a member.
     *
     * @param members the set
     * @param member the member to leave out
     * @return a changed copy
     */
    private static Set<MemberId> without(Set<MemberId> members, MemberId member) {
        Set<MemberId> changed = new LinkedHashSet<>(members);
        changed.remove(member);
        return changed;
    }
}
