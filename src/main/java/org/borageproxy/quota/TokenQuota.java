package org.borageproxy.quota;

import java.util.concurrent.CompletionStage;

import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/** Reserves tokens of workspaces. Implementations are safe for use by any thread. */
public interface TokenQuota {

    /**
     * Reserves tokens for a request.
     *
     * @param workspace the workspace that pays
     * @param tokens the largest number of tokens that the request can spend
     * @param deadline until when the request may wait
     * @return the decision
     */
    CompletionStage<Decision> reserve(String workspace, long tokens, Deadline deadline);

    /** The answer to a reservation. */
    sealed interface Decision {

        /**
         * The tokens are reserved.
         *
         * @param reservation the reservation, which must be settled or refunded once
         */
        record Reserved(Reservation reservation) implements Decision {}

        /**
         * The tokens are refused.
         *
         * @param code why
         * @param retryAt when the tokens will be there
         */
        record Refused(ResultCode code, Deadline retryAt) implements Decision {}
    }

    /** Reserved tokens; only the first settlement or refund has an effect. */
    interface Reservation {

        /**
         * Pays for the tokens that were used and gives the others back.
         *
         * @param usedTokens the tokens that were used
         */
        void settle(long usedTokens);

        /** Gives all tokens back because the request did not run. */
        void refund();
    }
}
