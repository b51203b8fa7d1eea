package org.borageproxy.execution;

import java.util.concurrent.CompletionStage;

import org.borageproxy.time.Deadline;

/**
 * Durable claims of requests that must run at most once. A claim is in the state "claimed", "dispatched", "answered" or
 * "released"; a dispatched claim whose holder is lost stays "may have run" until it expires. Implementations are thread
 * safe.
 */
public interface ClaimStore {

    /**
     * Claims a request before its dispatch.
     *
     * @param key the identifier of the request
     * @param digest the hexadecimal digest of the request's method, path and body
     * @param createdAtMillis when the caller created the request, in milliseconds since 1970, or 0 if not stated
     * @param deadline the deadline of the request, after which it is neither claimed nor dispatched
     * @return the decision, or a failure
     */
    CompletionStage<ClaimDecision> claim(ClaimKey key, String digest, long createdAtMillis, Deadline deadline);

    /**
     * Stores the response of a claimed request.
     *
     * @param key the identifier of the request
     * @param epoch the fencing token of the claim
     * @param response the response
     * @return completes when the response is durable, or fails
     */
    CompletionStage<Void> complete(ClaimKey key, long epoch, StoredResponse response);

    /**
     * Releases the claim of a request that certainly did not run.
     *
     * @param key the identifier of the request
     * @param epoch the fencing token of the claim
     * @return completes when the release is durable, or fails
     */
    CompletionStage<Void> release(ClaimKey key, long epoch);

    /**
     * Records that the request may have run and that its response is lost.
     *
     * @param key the identifier of the request
     * @param epoch the fencing token of the claim
     * @return completes when the record is durable, or fails
     */
    CompletionStage<Void> abandon(ClaimKey key, long epoch);
}
