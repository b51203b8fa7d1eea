package org.borageproxy.quota;

import java.util.List;

/**
 * An entry's report on its credit for one workspace, and its request for more. The totals count from the start of the
 * session and never decrease. A request is sent again with the same sequence number and content until it is answered or
 * abandoned; a reply to an abandoned request is ignored. Immutable and thread safe.
 *
 * @param shard the shard of the workspace
 * @param epoch the epoch of the owner that is addressed
 * @param session identifies one run of the entry's process
 * @param sequence a number that increases with each new request of the session for the workspace
 * @param workspace the workspace's name
 * @param accepted the total credit that the entry received in time
 * @param spent the total credit that the entry spent
 * @param returned the total credit that the entry gave up without spending it
 * @param needed the tokens that the first pending reservation lacks
 * @param waiting the tokens that all pending reservations lack
 * @param prefetch the tokens that the entry would like to hold in advance
 * @param refunds unused tokens of settled and refunded reservations
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

    /** Returns the credit that the entry can still spend, in tokens. */
    long available() {
        return accepted - spent - returned;
    }
}
