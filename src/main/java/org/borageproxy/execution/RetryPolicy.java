package org.borageproxy.execution;

import org.borageproxy.result.Execution;

/** The one place that decides what follows an attempt. Pure, stateless and thread safe. */
public enum RetryPolicy {
    /** The only policy. */
    INSTANCE;

    /**
     * What the policy decides upon.
     *
     * @param execution what is known of the attempt's execution
     * @param repeatable whether the request may run more than once
     * @param sent how much of the answer the caller has
     * @param timeLeft whether time is left before the request's deadline
     * @param budgetLeft whether the retry budget and the limit of attempts allow another attempt
     */
    public record Situation(
            Execution execution, boolean repeatable, SentOutput sent, boolean timeLeft, boolean budgetLeft) {}

    /**
     * Decides what follows an attempt.
     *
     * @param situation the attempt and its surroundings
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
