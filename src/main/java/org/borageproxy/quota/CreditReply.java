package org.borageproxy.quota;

/**
 * An owner's answer to a {@link CreditRequest}. The lifetime is computed into a deadline by the entry, from the moment
 * at which it first sent the request. Immutable and thread safe.
 *
 * @param status what the owner did
 * @param epoch the owner's epoch
 * @param sequence the request's sequence number
 * @param ownerNanos the owner's clock when it took the report, from which what was spent in it can be given back
 * @param granted tokens that the entry may spend besides those it holds
 * @param lifetimeNanos how long all credit of the entry holds
 * @param waitNanos when the bucket is predicted to cover the first waiting reservation; zero if it is covered
 * @param returnIdle whether other entries wait for tokens, so that idle credit is wanted back
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

    /** What an owner did with a request. */
    enum Status {
        /** The report was taken and the grant, perhaps of no tokens, holds. */
        GRANTED,
        /** The VM does not own the shard in the request's epoch. */
        NOT_OWNER,
        /** The owner gives its duty back and wants all credit returned. */
        CLOSING,
        /** A later request of the session was handled before. */
        OUTDATED
    }

    /**
     * Returns a reply that grants nothing and reports nothing.
     *
     * @param status the status
     * @param epoch the owner's epoch
     * @param sequence the request's sequence number
     * @return the reply
     */
    static CreditReply withoutGrant(Status status, long epoch, long sequence) {
        return new CreditReply(status, epoch, sequence, 0, 0, 0, 0, false);
    }

    /**
     * Returns this reply with another moment at which the report was taken.
     *
     * @param nanos the reading of the owner's clock
     * @return a copy
     */
    CreditReply withOwnerNanos(long nanos) {
        return new CreditReply(status, epoch, sequence, nanos, granted, lifetimeNanos, waitNanos, returnIdle);
    }
}
