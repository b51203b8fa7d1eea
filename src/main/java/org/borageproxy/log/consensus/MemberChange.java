package org.borageproxy.log.consensus;

/** A change of one member of the control group. Variants are immutable and thread safe. */
public sealed interface MemberChange {

    /**
     * Returns the member that the change is about.
     *
     * @return the member
     */
    MemberId member();

    /**
     * Adds a member that receives the log and does not vote.
     *
     * @param member the member
     */
    record AddLearner(MemberId member) implements MemberChange {}

    /**
     * Makes a learner that holds all committed entries a voter.
     *
     * @param member the learner
     */
    record Promote(MemberId member) implements MemberChange {}

    /**
     * Removes a voter or a learner.
     *
     * @param member the member
     */
    record Remove(MemberId member) implements MemberChange {}

    /** Why a change of the members was refused. */
    enum Refusal {
        /** Another member leads the group. */
        NOT_LEADER,
        /** An earlier change, or the leader's first entry, is not committed yet. */
        CHANGE_IN_PROGRESS,
        /** The learner does not hold all committed entries yet. */
        NOT_CAUGHT_UP,
        /** The member is in the group already. */
        ALREADY_MEMBER,
        /** The member is not in the group, or not a learner where one is needed. */
        UNKNOWN_MEMBER,
        /** The last voter cannot leave. */
        LAST_VOTER,
        /** Too few of the voters that the change leaves have answered lately, so that it could stop the group. */
        MAJORITY_SILENT
    }
}
