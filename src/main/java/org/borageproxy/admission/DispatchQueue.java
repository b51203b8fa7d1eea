package org.borageproxy.admission;

import java.util.concurrent.CompletionStage;

import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/** Queues requests in front of pools of backend servers. Implementations are thread safe. */
public interface DispatchQueue {

    /**
     * Queues a request until its pool has a free slot.
     *
     * @param request the request
     * @return completes with a slot, or with a refusal if the request cannot be dispatched before its deadline
     */
    CompletionStage<Decision> enqueue(QueuedRequest request);

    /**
     * A request that waits for a slot.
     *
     * @param workspace the caller's workspace
     * @param pool the name of the pool: a model or a plain service
     * @param tokens its cost in tokens
     * @param priority the priority within its workspace; larger numbers are dispatched first
     * @param deadline the time by which the response must be complete
     */
    record QueuedRequest(String workspace, String pool, long tokens, int priority, Deadline deadline) {}

    /** The outcome of queueing a request. */
    sealed interface Decision {

        /**
         * The request may be sent to a backend server.
         *
         * @param slot the slot, which must be released once
         */
        record Dispatchable(Slot slot) implements Decision {}

        /**
         * The request is refused and did not run.
         *
         * @param code the reason
         * @param retryAt the earliest time for a retry
         */
        record Shed(ResultCode code, Deadline retryAt) implements Decision {}
    }

    /** The right to run one request in a pool. Only the first release has an effect. */
    @FunctionalInterface
    interface Slot {

        /** Returns the slot to the pool. */
        void release();
    }
}
