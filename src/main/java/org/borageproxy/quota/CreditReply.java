package org.borageproxy.quota;

/**
 * The owner's reply to a {@link CreditRequest}. The lifetime counts from the time at which the entry first sent the
 * request, on the entry's clock, so that credit never outlives the owner's lease. Immutable and thread safe.
 *
 * @param status the outcome
 * @param epoch the owner's epoch
 * @param sequence the request's sequence number
 * @param ownerNanos the owner's clock when it applied the report; refunds of tokens spent in that report refer to it
 * @param granted the tokens granted in addition to the credit that the entry holds
 * @param lifetimeNanos the remaining lifetime of all credit of the entry, in nanoseconds
 * @param waitNanos the predicted time until the bucket covers the first pending reservation; zero if it is covered
 * @param returnIdle whether the entry should return unused credit because other entries wait for tokens
 */
record CreditReply(
        Status status,
        long epoch,
        long sequence,
        long ownerNanos,
        long granted,
        long lifetimeNanos,
        long waitNanos,
        boolean returnIdle) {

    /** The outcome of a request for credit. */
    enum Status {
        /** The report was applied and the grant, possibly of zero tokens, is valid. */
        GRANTED,
        /** The VM does not own the shard in the request's epoch. */
        NOT_OWNER,
        /** The owner is about to release the shard; all credit should be returned. */
        CLOSING,
        /** A later request of the session was already answered. */
        OUTDATED
    }

    /**
     * Returns a reply that only carries a status: no grant, lifetime or wait.
     *
     * @param status the status
     * @param epoch the owner's epoch
     * @param sequence the request's sequence number
     * @return the reply
     */
    static CreditReply withoutGrant(Status status, long epoch, long sequence) {
        return new CreditReply(status, epoch, sequence, 0, 0, 0, 0, false);
    }

    /** Returns a copy with another reading of the owner's clock. */
    CreditReply withOwnerNanos(long newOwnerNanos) {
        return new CreditReply(status, epoch, sequence, newOwnerNanos, granted, lifetimeNanos, waitNanos, returnIdle);
    }
}
