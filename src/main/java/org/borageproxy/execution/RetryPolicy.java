package org.borageproxy.execution;

import org.borageproxy.result.Execution;

/** Decides what follows an attempt. Pure, stateless and thread safe. */
public enum RetryPolicy {
    /** The singleton instance. */
    INSTANCE;

    /**
     * The input of the policy.
     *
     * @param execution whether the attempt ran
     * @param repeatable whether the request may run more than once
     * @param sent how much of the response the caller has received
     * @param timeLeft whether the deadline of the request lies ahead
     * @param budgetLeft whether the retry budget and the attempt limit allow another attempt
     */
    public record Situation(
            Execution execution, boolean repeatable, SentOutput sent, boolean timeLeft, boolean budgetLeft) {}

    /**
     * Decides what follows an attempt.
     *
     * @param situation the state after the attempt
     * @return the decision
     */
    public RetryDecision decide(Situation situation) {
        if (situation.execution() == Execution.ANSWERED) {
            return RetryDecision.DELIVER;
        }
        if (situation.sent() == SentOutput.OPAQUE) {
            return RetryDecision.END_CUT;
        }
        boolean safe = situation.execution() == Execution.NOT_RUN || situation.repeatable();
        boolean allowed = safe && situation.timeLeft() && situation.budgetLeft();
        if (situation.sent() == SentOutput.RESUMABLE) {
            return allowed ? RetryDecision.RESUME : RetryDecision.END_CUT;
        }
        if (allowed) {
            return RetryDecision.RETRY;
        }
        return situation.execution() == Execution.NOT_RUN ? RetryDecision.END_NOT_RUN : RetryDecision.END_MAY_HAVE_RUN;
    }
}
