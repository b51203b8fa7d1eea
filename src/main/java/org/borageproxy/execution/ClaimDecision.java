package org.borageproxy.execution;

import org.borageproxy.time.Deadline;

/** The result of an attempt to claim a request. Implementations are immutable. */
public sealed interface ClaimDecision {

    /**
     * The claim is granted. Its holder may dispatch the request once, before the dispatch deadline.
     *
     * @param epoch the fencing token of the claim
     * @param dispatchDeadline when the right to dispatch expires
     */
    record Granted(long epoch, Deadline dispatchDeadline) implements ClaimDecision {}

    /**
     * The request has run and its response is stored.
     *
     * @param response the stored response
     */
    record Answered(StoredResponse response) implements ClaimDecision {}

    /**
     * Another VM holds the claim.
     *
     * @param retryAt when to try again
     */
    record InProgress(Deadline retryAt) implements ClaimDecision {}

    /** The request may have run and must not run again. */
    record MayHaveRun() implements ClaimDecision {}

    /** The idempotency key was used with a different request. */
    record Conflict() implements ClaimDecision {}

    /** The request is older than the retention period of claims. */
    record TooOld() implements ClaimDecision {}

    /**
     * The claim could not be recorded, and no claim is held.
     *
     * @param retryAt when to try again
     */
    record Unavailable(Deadline retryAt) implements ClaimDecision {}
}
