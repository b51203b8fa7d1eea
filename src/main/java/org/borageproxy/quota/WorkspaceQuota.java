package org.borageproxy.quota;

import java.util.HashMap;
import java.util.Map;

import org.borageproxy.quota.CreditReply.Status;

/**
 * An owner's state of one workspace: the bucket, the accounts of the entries and the queue of waiting entries. Not
 * thread safe.
 */
final class WorkspaceQuota {

    /** Time for which an account is kept after its credit was written off, in nanoseconds. */
    private static final long ACCOUNT_RETENTION_NANOS = 10_000_000_000L;

    /**
     * Age given to a report after a resynchronization, in nanoseconds. It exceeds the horizon of the
     * {@link HeadroomHistory}, so that tokens spent in the report cannot be refunded.
     */
    private static final long UNREFUNDABLE_AGE_NANOS = 3_600_000_000_000L;

    /**
     * A prefetch is granted at most the free tokens divided by this number, and only until the outstanding credit
     * reaches the burst divided by this number.
     */
    private static final long PREFETCH_DIVISOR = 4;

    /** Minimum delay after which a waiting entry is expected to poll again, in nanoseconds. */
    private static final long MIN_POLL_DELAY_NANOS = 2_000_000L;

    /** Maximum delay after which a waiting entry is expected to poll again, in nanoseconds. */
    private static final long MAX_POLL_DELAY_NANOS = 200_000_000L;

    private final TokenBucket bucket;
    private final QuotaSettings settings;

    /** Accounts by session. */
    private final Map<String, CreditAccount> accounts = new HashMap<>();

    private final WaitingEntries waiting = new WaitingEntries();

    WorkspaceQuota(TokenBucket bucket, QuotaSettings settings) {
        this.bucket = bucket;
        this.settings = settings;
    }

    /** Refills the bucket, writes off expired credit, and removes old accounts and entries that no longer poll. */
    void advance(long nowNanos) {
        bucket.refill(nowNanos);
        for (CreditAccount account : accounts.values()) {
            account.writeOff(bucket, nowNanos);
        }
        accounts.values().removeIf(account -> account.isEvictable(nowNanos, ACCOUNT_RETENTION_NANOS));
        waiting.expire(nowNanos);
    }

    /**
     * Answers a request for credit.
     *
     * @param request the request
     * @param epoch the owner's epoch
     * @param lifetimeNanos the lifetime of granted credit, in nanoseconds
     * @param closing whether the owner is about to release the shard
     * @param nowNanos the current time of the clock
     * @return the reply; the original one if the request is a duplicate
     */
    CreditReply answer(CreditRequest request, long epoch, long lifetimeNanos, boolean closing, long nowNanos) {
        advance(nowNanos);
        CreditAccount account = accounts.computeIfAbsent(request.session(), session -> new CreditAccount());
        if (account.hasHandled(request.sequence())) {
            return account.replay(request.sequence(), epoch);
        }
        long appliedAtNanos = account.applyReport(request, bucket) ? nowNanos : nowNanos - UNREFUNDABLE_AGE_NANOS;
        for (TokenRefund refund : request.refunds()) {
            bucket.refund(refund.sinceOwnerNanos(), refund.tokens());
        }
        CreditReply reply = closing
                ? CreditReply.withoutGrant(Status.CLOSING, epoch, request.sequence())
                : grant(request, epoch, lifetimeNanos, nowNanos).withOwnerNanos(appliedAtNanos);
        account.recordReply(reply, settings.writeOffAtNanos(nowNanos, lifetimeNanos));
        return reply;
    }

    /**
     * Decides how many tokens an entry is granted. An entry whose first pending reservation is not covered gets none
     * and keeps a position in the queue, so that large reservations are not starved by small ones.
     */
    private CreditReply grant(CreditRequest request, long epoch, long lifetimeNanos, long nowNanos) {
        long reservedBefore = waiting.tokensBefore(request.session());
        long free = bucket.level() - reservedBefore;
        long waitNanos = 0;
        long granted = 0;
        if (request.needed() > free) {
            waitNanos = bucket.nanosUntil((double) reservedBefore + request.needed());
            long pollNanos = Math.min(Math.max(waitNanos, MIN_POLL_DELAY_NANOS), MAX_POLL_DELAY_NANOS);
            waiting.putOrExtend(request.session(), request.needed(), nowNanos + pollNanos);
        } else {
            waiting.remove(request.session());
            granted = Math.max(request.needed(), Math.min(request.waiting(), free));
            granted += prefetch(request.prefetch(), free - granted);
        }
        bucket.grant(granted);
        boolean returnIdle = !waiting.isEmpty();
        return new CreditReply(
                Status.GRANTED,
                epoch,
                request.sequence(),
                nowNanos,
                granted,
                lifetimeNanos,
                Math.min(waitNanos, Long.MAX_VALUE / 4),
                returnIdle);
    }

    private long prefetch(long wanted, long free) {
        if (!waiting.isEmpty()) {
            return 0;
        }
        long roomForPrefetch = bucket.burst() / PREFETCH_DIVISOR - bucket.outstanding();
        return Math.max(0, Math.min(wanted, Math.min(free / PREFETCH_DIVISOR, roomForPrefetch)));
    }

    /** Returns the bucket, in the state of the last request or {@link #advance(long)}. */
    TokenBucket bucket() {
        return bucket;
    }
}
