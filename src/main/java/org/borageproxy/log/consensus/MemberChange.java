package org.borageproxy.log.consensus;

/** A change of one member of the control group. Variants are immutable and thread safe. */
public sealed interface MemberChange {

    /**
     * Returns the member that is added, promoted or removed.
     *
     * @return the member
     */
    MemberId member();

    /**
     * Adds a member that receives the log but does not vote.
     *
     * @param member the new member
     */
    record AddLearner(MemberId member) implements MemberChange {}

    /**
     * Turns a learner into a voter. The learner must hold all committed entries.
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

    /** The reason why a membership change was refused. */
    enum Refusal {
        /**
         * The member that received the request is not the leader, is transferring leadership or has stopped, or another
         * leader has replaced the change in the log.
         */
        NOT_LEADER,
        /** An earlier change, or the leader's first entry of its term, is not committed yet. */
        CHANGE_IN_PROGRESS,
        /** The learner does not hold all committed entries yet, or has not answered within the lease duration. */
        NOT_CAUGHT_UP,
        /** The member is already in the group, or already a voter. */
        ALREADY_MEMBER,
        /** The member is not in the group. */
        UNKNOWN_MEMBER,
        /** The only voter cannot be removed. */
        LAST_VOTER,
        /**
         * The change would leave voters of which no majority has answered within the lease duration, so that the group
         * might be unable to commit further entries.
         */
        MAJORITY_SILENT
    }
}
