package org.borageproxy.log.consensus;

import java.util.Optional;

/** Validates and applies membership changes. Stateless and thread safe. */
final class MembershipRules {

    private MembershipRules() {}

    /** Returns the members after a change, which must be valid. */
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
     * Returns why a change is invalid for the given members.
     *
     * @param members the members before the change
     * @param change the change
     * @param isUpToDate whether the member holds all committed entries and answered within the lease duration
     * @return the reason, or empty if the change is valid
     */
    static Optional<MemberChange.Refusal> refusal(Members members, MemberChange change, boolean isUpToDate) {
        boolean isVoter = members.voters().contains(change.member());
        boolean isLearner = members.learners().contains(change.member());
        if (change instanceof MemberChange.AddLearner) {
            return refuseIf(isVoter || isLearner, MemberChange.Refusal.ALREADY_MEMBER);
        }
        if (change instanceof MemberChange.Promote) {
            return isLearner
                    ? refuseIf(!isUpToDate, MemberChange.Refusal.NOT_CAUGHT_UP)
                    : Optional.of(isVoter ? MemberChange.Refusal.ALREADY_MEMBER : MemberChange.Refusal.UNKNOWN_MEMBER);
        }
        if (!isVoter && !isLearner) {
            return Optional.of(MemberChange.Refusal.UNKNOWN_MEMBER);
        }
        return refuseIf(isVoter && members.voters().size() == 1, MemberChange.Refusal.LAST_VOTER);
    }

    private static Optional<MemberChange.Refusal> refuseIf(boolean isRefused, MemberChange.Refusal refusal) {
        return isRefused ? Optional.of(refusal) : Optional.empty();
    }
}
