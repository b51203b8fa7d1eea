package org.borageproxy.execution;

import org.borageproxy.time.Deadline;

/** The answer to an attempt to claim a request. Implementations are immutable. */
public sealed interface ClaimDecision {

    /**
     * The caller of the store holds the claim and may dispatch the request once before the deadline.
     *
     * @param epoch the fencing number of the claim
     * @param dispatchDeadline when the right to dispatch ends
     */
    record Granted(long epoch, Deadline dispatchDeadline) implements ClaimDecision {}

    /**
     * The request ran and its answer is known.
     *
     * @param response the answer
     */
    record Answered(StoredResponse response) implements ClaimDecision {}

    /**
     * Another VM holds the claim.
     *
     * @param retryAt when to ask again
     */
    record InProgress(Deadline retryAt) implements ClaimDecision {}

    /** The request may have run and must not run again. */
    record MayHaveRun() implements ClaimDecision {}

    /** The idempotency key was used with another request. */
    record Conflict() implements ClaimDecision {}

    /** The request is older than the age up to which claims are kept. */
    record TooOld() implements ClaimDecision {}

    /**
     * The claim could not be recorded, and none is held.
     *
     * @param retryAt when to try again
     */
    record Unavailable(Deadline retryAt) implements ClaimDecision {}
}
