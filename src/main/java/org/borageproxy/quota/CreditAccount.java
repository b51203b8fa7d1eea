package org.borageproxy.quota;

/** The owner's record of the credit that one session of an entry holds for one workspace. Not thread safe. */
final class CreditAccount {

    /** Total credit granted, minus grants that the session never received. */
    private long granted;

    /** Total credit spent, according to the last report. */
    private long spent;

    /** Total credit returned, according to the last report. */
    private long returned;

    private long lastSequence = -1;

    /** Reply to the last request, for replay to a duplicate. */
    private CreditReply lastReply;

    /** Time from which no entry can spend the outstanding credit any more. */
    private long writeOffAtNanos;

    /** Whether the next report only sets the totals, because the owner is new or has written the credit off. */
    private boolean needsResync = true;

    /** Returns the credit that the session may still spend, in tokens. */
    long outstanding() {
        return granted - spent - returned;
    }

    /** Returns whether this request or a later one of the session was already answered. */
    boolean hasHandled(long sequence) {
        return sequence <= lastSequence;
    }

    /**
     * Returns the reply to a duplicate request.
     *
     * @param sequence the request's sequence number
     * @param epoch the owner's epoch
     * @return the original reply to the last request; {@code OUTDATED} for an older one
     */
    CreditReply replay(long sequence, long epoch) {
        return sequence == lastSequence
                ? lastReply
                : CreditReply.withoutGrant(CreditReply.Status.OUTDATED, epoch, sequence);
    }

    /**
     * Applies the totals of a report, and the differences from the previous report to the bucket.
     *
     * @param report the report
     * @param bucket the workspace's bucket
     * @return whether the previous totals were known; if not, the tokens spent in this report cannot be refunded
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
     * Records a reply for replay, and the credit that it grants.
     *
     * @param reply the reply
     * @param writeOffNanos when the credit can be written off, on the owner's clock
     */
    void recordReply(CreditReply reply, long writeOffNanos) {
        lastSequence = reply.sequence();
        lastReply = reply;
        granted += reply.granted();
        writeOffAtNanos = Math.max(writeOffAtNanos, writeOffNanos);
    }

    /**
     * Counts the outstanding credit as spent once no entry can spend it any more. Without that, the credit of a failed
     * entry would reduce the bucket for ever.
     */
    void writeOff(TokenBucket bucket, long nowNanos) {
        if (!needsResync && nowNanos - writeOffAtNanos >= 0) {
            bucket.spend(outstanding());
            granted = spent + returned;
            needsResync = true;
        }
    }

    /** Returns whether the credit was written off longer than the given time ago. */
    boolean isEvictable(long nowNanos, long retentionNanos) {
        return needsResync && nowNanos - writeOffAtNanos > retentionNanos;
    }
}
