package org.borageproxy.quota;

/** What an owner knows of the credit that one session of an entry holds for one workspace. Not thread safe. */
final class CreditAccount {

    /** Credit granted in total, as counted by the session. */
    private long granted;

    /** Credit spent in total, as the session reported last. */
    private long spent;

    /** Credit returned in total, as the session reported last. */
    private long returned;

    /** The sequence number of the last request handled. */
    private long lastSequence = -1;

    /** The answer to the last request handled. */
    private CreditReply lastReply;

    /** When the outstanding credit is written off. */
    private long writeOffAtNanos;

    /** Whether the totals must be taken from the next report without effect on the bucket. */
    private boolean needsResync = true;

    /**
     * Returns the credit that the session may still spend.
     *
     * @return tokens
     */
    long outstanding() {
        return granted - spent - returned;
    }

    /**
     * Tells whether a request was handled before.
     *
     * @param sequence the request's sequence number
     * @return {@code true} if it or a later one was
     */
    boolean hasHandled(long sequence) {
        return sequence <= lastSequence;
    }

    /**
     * Returns the answer to a request that was handled before.
     *
     * @param sequence the request's sequence number
     * @param epoch the owner's epoch
     * @return the same answer as the first time if it was the last one
     */
    CreditReply replay(long sequence, long epoch) {
        return sequence == lastSequence
                ? lastReply
                : CreditReply.withoutGrant(CreditReply.Status.OUTDATED, epoch, sequence);
    }

    /**
     * Takes the totals of a report and carries the difference over to the bucket.
     *
     * @param report the report
     * @param bucket the workspace's bucket
     * @return whether the difference is known, so that tokens spent in it may be given back
     */
    boolean applyReport(CreditRequest report, TokenBucket bucket) {
        if (needsResync) {
            granted = report.accepted();
            spent = report.spent();
            returned = report.returned();
            bucket.grant(outstanding());
            needsResync = false;
            return false;
        }
        bucket.spend(report.spent() - spent);
        bucket.reclaim(report.returned() - returned);
        bucket.reclaim(granted - report.accepted());
        granted = report.accepted();
        spent = report.spent();
        returned = report.returned();
        return true;
    }

    /**
     * Remembers an answer.
     *
     * @param reply the answer
     * @param writeOff when the credit is written off
     */
    void recordReply(CreditReply reply, long writeOff) {
        lastSequence = reply.sequence();
        lastReply = reply;
        granted += reply.granted();
        writeOffAtNanos = Math.max(writeOffAtNanos, writeOff);
    }

    /**
     * Writes the outstanding credit off once no entry can spend it any more.
     *
     * @param bucket the workspace's bucket
     * @param nowNanos the time now
     */
    void writeOff(TokenBucket bucket, long nowNanos) {
        if (!needsResync && nowNanos - writeOffAtNanos >= 0) {
            bucket.spend(outstanding());
            granted = spent + returned;
            needsResync = true;
        }
    }

    /**
     * Tells whether the account can be forgotten.
     *
     * @param nowNanos the time now
     * @param keepNanos how long a written-off account is kept
     * @return {@code true} if it can
     */
    boolean isEvictable(long nowNanos, long keepNanos) {
        return needsResync && nowNanos - writeOffAtNanos > keepNanos;
    }
}
