package org.borageproxy.quota;

import java.util.concurrent.CompletionStage;

import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/** Reserves tokens from the rate limits of workspaces. Implementations are thread safe. */
public interface TokenQuota {

    /**
     * Reserves tokens for a request.
     *
     * @param workspace the name of the workspace that is charged
     * @param tokens the maximum number of tokens that the request can use
     * @param deadline the time until which the reservation may wait
     * @return completes with the reservation or a refusal
     */
    CompletionStage<Decision> reserve(String workspace, long tokens, Deadline deadline);

    /** The outcome of a reservation. */
    sealed interface Decision {

        /**
         * The tokens are reserved.
         *
         * @param reservation the reservation, to be settled or refunded once
         */
        record Reserved(Reservation reservation) implements Decision {}

        /**
         * The tokens are not reserved.
         *
         * @param code the reason
         * @param retryAt when the tokens are expected to be available
         */
        record Refused(ResultCode code, Deadline retryAt) implements Decision {}
    }

    /** Reserved tokens. Only the first settlement or refund has an effect. */
    interface Reservation {

        /**
         * Charges the used tokens and refunds the others.
         *
         * @param usedTokens the tokens that the request used
         */
        void settle(long usedTokens);

        /** Refunds all tokens of a request that did not run. */
        void refund();
    }
}
