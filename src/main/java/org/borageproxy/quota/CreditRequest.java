package org.borageproxy.quota;

import java.util.List;

/**
 * An entry's report on the credit that it holds for one workspace, and its need for more. The totals count from the
 * start of the session and never decrease. A sequence number is sent again with the same content until it is answered
 * or abandoned; the answer to an abandoned one is never accepted. Immutable and thread safe.
 *
 * @param shard the shard of the workspace
 * @param epoch the epoch of the owner that the request is for
 * @param session names one run of the entry's process
 * @param sequence rises with each request of the session for the workspace
 * @param workspace the workspace's name
 * @param accepted total of the credit that the entry accepted
 * @param spent total of the credit that the entry spent
 * @param returned total of the credit that the entry will not spend
 * @param needed what the first waiting reservation lacks
 * @param waiting what all waiting reservations lack
 * @param prefetch what the entry would like to hold besides
 * @param refunds tokens of settled and refunded reservations
 */
record CreditRequest(
        int shard,
        long epoch,
        String session,
        long sequence,
        String workspace,
        long accepted,
        long spent,
        long returned,
        long needed,
        long waiting,
        long prefetch,
        List<TokenRefund> refunds) {

    /** Copies the list. */
    CreditRequest {
        refunds = List.copyOf(refunds);
    }

    /**
     * Returns the credit that the entry can still spend.
     *
     * @return tokens
     */
    long available() {
        return accepted - spent - returned;
    }
}
