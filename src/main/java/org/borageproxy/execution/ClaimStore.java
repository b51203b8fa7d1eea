package org.borageproxy.execution;

import java.util.concurrent.CompletionStage;

import org.borageproxy.time.Deadline;

/**
 * Durable claims of requests that must run at most once. A claim is in the state "claimed", "dispatched", "answered" or
 * "released"; a dispatched claim whose holder is lost stays "may have run" until it expires. Implementations are safe
 * for use by any thread.
 */
public interface ClaimStore {

    /**
     * Claims a request before its dispatch.
     *
     * @param key what identifies the request
     * @param digest the hexadecimal digest of the request's method, path and body
     * @param createdAtMillis when the caller created the request, in milliseconds since 1970, or zero if not stated
     * @param deadline when to give up
     * @return the decision
     */
    CompletionStage<ClaimDecision> claim(ClaimKey key, String digest, long createdAtMillis, Deadline deadline);

    /**
     * Records that the request was answered, with the answer.
     *
     * @param key what identifies the request
     * @param epoch the fencing number of the claim
     * @param answer the answer
     * @return completes when the answer is durable, or fails
     */
    CompletionStage<Void> complete(ClaimKey key, long epoch, StoredResponse answer);

    /**
     * Gives a claim back of a request that certainly did not run.
     *
     * @param key what identifies the request
     * @param epoch the fencing number of the claim
     * @return completes when the release is durable, or fails
     */
    CompletionStage<Void> release(ClaimKey key, long epoch);

    /**
     * Records that the request may have run and that its answer is lost.
     *
     * @param key what identifies the request
     * @param epoch the fencing number of the claim
     * @return completes when this is durable, or fails
     */
    CompletionStage<Void> abandon(ClaimKey key, long epoch);
}
