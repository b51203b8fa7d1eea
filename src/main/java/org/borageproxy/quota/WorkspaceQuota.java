package org.borageproxy.quota;

import java.util.HashMap;
import java.util.Map;

import org.borageproxy.quota.CreditReply.Status;

/** An owner's state for one workspace: its bucket, the entries' accounts and the entries that wait. Not thread safe. */
final class WorkspaceQuota {

    /** How long a written-off account is remembered, in nanoseconds. */
    private static final long FORGET_AFTER_NANOS = 10_000_000_000L;

    /** The age from which tokens that are given back are worth nothing, in nanoseconds. */
    private static final long WORTHLESS_NANOS = 3_600_000_000_000L;

    /** The share of the free tokens that one prefetch may take, as one part in this many. */
    private static final long PREFETCH_DIVISOR = 4;

    /** The shortest time after which a waiting entry asks again, in nanoseconds. */
    private static final long SHORTEST_WAIT_NANOS = 2_000_000L;

    /** The longest time after which a waiting entry asks again, in nanoseconds. */
    private static final long LONGEST_POLL_NANOS = 200_000_000L;

    /** The bucket. */
    private final TokenBucket bucket;

    /** The times that govern credit. */
    private final QuotaSettings settings;

    /** The accounts by session. */
    private final Map<String, CreditAccount> accounts = new HashMap<>();

    /** The entries that wait. */
    private final WaitingEntries waiting = new WaitingEntries();

    /**
     * Creates the state of a workspace.
     *
     * @param bucket its bucket
     * @param settings the times that govern credit
     */
    WorkspaceQuota(TokenBucket bucket, QuotaSettings settings) {
        this.bucket = bucket;
        this.settings = settings;
    }

    /**
     * Brings the bucket and the accounts up to the present.
     *
     * @param nowNanos the time now
     */
    void advance(long nowNanos) {
        bucket.refill(nowNanos);
        for (CreditAccount account : accounts.values()) {
            account.writeOff(bucket, nowNanos);
        }
        accounts.values().removeIf(account -> account.isEvictable(nowNanos, FORGET_AFTER_NANOS));
        waiting.expire(nowNanos);
    }

    /**
     * Answers a request.
     *
     * @param request the request
     * @param epoch the owner's epoch
     * @param lifetimeNanos how long credit may hold
     * @param closing whether the owner gives its duty back
     * @param nowNanos the time now
     * @return the reply
     */
    CreditReply answer(CreditRequest request, long epoch, long lifetimeNanos, boolean closing, long nowNanos) {
        advance(nowNanos);
        CreditAccount account = accounts.computeIfAbsent(request.session(), session -> new CreditAccount());
        if (account.hasHandled(request.sequence())) {
            return account.replay(request.sequence(), epoch);
        }
        long processedAtNanos = account.applyReport(request, bucket) ? nowNanos : nowNanos - WORTHLESS_NANOS;
        for (TokenRefund giveBack : request.refunds()) {
            bucket.refund(giveBack.sinceOwnerNanos(), giveBack.tokens());
        }
        CreditReply reply = closing
                ? CreditReply.withoutGrant(Status.CLOSING, epoch, request.sequence())
                : grant(request, epoch, lifetimeNanos, nowNanos).withOwnerNanos(processedAtNanos);
        account.recordReply(reply, settings.writeOffAtNanos(nowNanos, lifetimeNanos));
        return reply;
    }

    /**
     * Decides how much an entry gets, and when it should ask again.
     *
     * @param request the request
     * @param epoch the owner's epoch
     * @param lifetimeNanos how long credit may hold
     * @param nowNanos the time now
     * @return the reply
     */
    private CreditReply grant(CreditRequest request, long epoch, long lifetimeNanos, long nowNanos) {
        long before = waiting.tokensBefore(request.session());
        long free = bucket.level() - before;
        long waitNanos = 0;
        long granted = 0;
        if (request.needed() > free) {
            waitNanos = bucket.nanosUntil((double) before + request.needed());
            long pollNanos = Math.min(Math.max(waitNanos, SHORTEST_WAIT_NANOS), LONGEST_POLL_NANOS);
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

    /**
     * Decides how much of an entry's wish to hold credit is granted.
     *
     * @param wished the tokens it would like to hold
     * @param free the tokens that nobody waits for
     * @return the tokens granted for it
     */
    private long prefetch(long wished, long free) {
        if (!waiting.isEmpty()) {
            return 0;
        }
        long roomForPrefetch = bucket.burst() / PREFETCH_DIVISOR - bucket.outstanding();
        return Math.max(0, Math.min(wished, Math.min(free / PREFETCH_DIVISOR, roomForPrefetch)));
    }

    /**
     * Returns the bucket.
     *
     * @return the bucket
     */
    TokenBucket bucket() {
        return bucket;
    }
}
