package org.borageproxy.admission;

import java.util.concurrent.CompletionStage;

import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/** Queues requests before a pool of backend servers. Implementations are safe for use by any thread. */
public interface DispatchQueue {

    /**
     * Queues a request until a place is free.
     *
     * @param request the request
     * @return the decision
     */
    CompletionStage<Decision> enqueue(QueuedRequest request);

    /**
     * A request that waits for a place.
     *
     * @param workspace the caller's workspace
     * @param pool the model or plain service that it needs
     * @param tokens its cost in tokens
     * @param priority its priority; larger numbers go first within a workspace
     * @param deadline when its answer must be complete
     */
    record QueuedRequest(String workspace, String pool, long tokens, int priority, Deadline deadline) {}

    /** The answer to a queued request. */
    sealed interface Decision {

        /**
         * The request may be dispatched.
         *
         * @param slot the place, which must be released once
         */
        record Dispatchable(Slot slot) implements Decision {}

        /**
         * The request is refused and did not run.
         *
         * @param code why
         * @param retryAt when to come back
         */
        record Shed(ResultCode code, Deadline retryAt) implements Decision {}
    }

    /** A place in a pool; only the first release has an effect. */
    @FunctionalInterface
    interface Slot {

        /** Gives the place back. */
        void release();
    }
}
