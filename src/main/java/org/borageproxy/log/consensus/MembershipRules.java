package org.borageproxy.log.consensus;

import java.util.Optional;

/** The rules of changes of members. Stateless and thread safe. */
final class MembershipRules {

    /** Not instantiated. */
    private MembershipRules() {}

    /**
     * Makes a change.
     *
     * @param members the members before
     * @param change the change
     * @return the members after
     */
    static Members apply(Members members, MemberChange change) {
        if (change instanceof MemberChange.AddLearner) {
            return members.withLearner(change.member());
        }
        if (change instanceof MemberChange.Promote) {
            return members.withVoter(change.member());
        }
        return members.without(change.member());
    }

    /**
     * Tells why a change cannot be made.
     *
     * @param members the members before
     * @param change the change
     * @param current whether the member holds all committed entries and answers
     * @return the reason, or empty if the change is valid
     */
    static Optional<MemberChange.Refusal> refusal(Members members, MemberChange change, boolean current) {
        boolean voter = members.voters().contains(change.member());
        boolean learner = members.learners().contains(change.member());
        if (change instanceof MemberChange.AddLearner) {
            return when(voter || learner, MemberChange.Refusal.ALREADY_MEMBER);
        }
        if (change instanceof MemberChange.Promote) {
            return learner
                    ? when(!current, MemberChange.Refusal.NOT_CAUGHT_UP)
                    : Optional.of(voter ? MemberChange.Refusal.ALREADY_MEMBER : MemberChange.Refusal.UNKNOWN_MEMBER);
        }
        if (!voter && !learner) {
            return Optional.of(MemberChange.Refusal.UNKNOWN_MEMBER);
        }
        return when(voter && members.voters().size() == 1, MemberChange.Refusal.LAST_VOTER);
    }

    /**
     * Returns a reason if it holds.
     *
     * @param holds whether it holds
     * @param refusal the reason
     * @return the reason, or empty
     */
    private static Optional<MemberChange.Refusal> when(boolean holds, MemberChange.Refusal refusal) {
        return holds ? Optional.of(refusal) : Optional.empty();
    }
}
