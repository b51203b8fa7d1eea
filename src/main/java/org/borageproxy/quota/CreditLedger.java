package org.borageproxy.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

import org.borageproxy.quota.CreditReply.Status;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Workspace;

/**
 * An entry's account of one workspace. It admits reservations from the credit that it holds, queues the others in order
 * of arrival while it requests credit from the shard's owner, and returns credit that it does not need. At most one
 * request is unanswered at a time. Not thread safe.
 */
final class CreditLedger {

    /** Minimum time from the last reply to a request that only prefetches credit, in nanoseconds. */
    private static final long MIN_PREFETCH_INTERVAL_NANOS = 20_000_000L;

    /** Delay before the next request after the owner has refused one or was unreachable, in nanoseconds. */
    private static final long RETRY_DELAY_NANOS = 20_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Identifies this run of the process. */
    private final String session;

    private final int shard;
    private final QuotaSettings settings;
    private final EntryCredit credit = new EntryCredit();
    private final DemandEstimate demand = new DemandEstimate();

    /** Reservations that wait for credit, in order of arrival. */
    private final ArrayDeque<PendingReservation> pending = new ArrayDeque<>();

    /** Total tokens of the pending reservations. */
    private long pendingTokens;

    private Workspace workspace;

    /** Epoch of the owner to which requests are sent. */
    private long epoch = -1;

    /** Sequence number of the last request. */
    private long sequence;

    /** Unanswered request, or {@code null}. */
    private OpenRequest openRequest;

    private long nextRequestAtNanos;

    /** Time of the next report if only totals or a renewal are due. */
    private long reportDueAtNanos;

    private long lastReplyAtNanos;
    private boolean hasReply;

    /** Whether the owner has asked for unused credit because other entries wait for tokens. */
    private boolean isIdleCreditRecalled;

    /**
     * An unanswered request.
     *
     * @param request the request
     * @param firstSentAtNanos when it was first sent; the lifetime of granted credit counts from here
     * @param resendAtNanos when it is sent again
     */
    private record OpenRequest(CreditRequest request, long firstSentAtNanos, long resendAtNanos) {}

    /**
     * A reservation with its outcome.
     *
     * @param reservation the reservation
     * @param refusal the refusal, or empty if the tokens are reserved
     */
    record DecidedReservation(PendingReservation reservation, Optional<TokenQuota.Decision.Refused> refusal) {}

    /**
     * Identifies the report in which a reservation's tokens are first reported as spent.
     *
     * @param epoch the epoch of the owner
     * @param report the sequence number of the report
     */
    record SpendStamp(long epoch, long report) {}

    /**
     * Creates a ledger without credit.
     *
     * @param session identifies this run of the process
     * @param shard the shard of the workspace
     * @param workspace the workspace's rate and burst
     * @param settings the lifetimes and intervals
     * @param nowNanos the current time of the clock
     */
    CreditLedger(String session, int shard, Workspace workspace, QuotaSettings settings, long nowNanos) {
        this.session = session;
        this.shard = shard;
        this.workspace = workspace;
        this.settings = settings;
        this.nextRequestAtNanos = nowNanos;
        this.reportDueAtNanos = nowNanos;
    }

    /**
     * Spends credit at once, unless earlier reservations wait or the credit does not suffice.
     *
     * @param tokens the tokens to spend
     * @param nowNanos the current time of the clock
     * @return the stamp of the reservation, or empty if it has to wait
     */
    Optional<SpendStamp> trySpend(long tokens, long nowNanos) {
        credit.expire(nowNanos);
        if (!pending.isEmpty() || !credit.spend(tokens)) {
            return Optional.empty();
        }
        demand.add(tokens, nowNanos);
        return Optional.of(stamp());
    }

    /** Appends a reservation to the queue. */
    void enqueue(PendingReservation reservation) {
        pending.addLast(reservation);
        pendingTokens += reservation.tokens();
    }

    /**
     * Records the unused tokens of a reservation, to be refunded by the owner. Tokens spent under an earlier owner are
     * not refunded, because its bucket is gone.
     *
     * @param stamp the stamp of the reservation
     * @param tokens the unused tokens; ignored unless positive
     */
    void refund(SpendStamp stamp, long tokens) {
        if (stamp.epoch() == epoch && tokens > 0) {
            credit.addRefund(stamp.report(), tokens);
        }
    }

    /** Replaces the workspace's rate and burst, from which waiting times are predicted. */
    void updateWorkspace(Workspace current) {
        workspace = current;
    }

    /**
     * Reserves tokens for pending reservations, in order, as far as the credit suffices, and refuses those whose
     * deadline has passed.
     *
     * @param nowNanos the current time of the clock
     * @return the reservations that are decided, to be completed outside any lock
     */
    List<DecidedReservation> decidePending(long nowNanos) {
        credit.expire(nowNanos);
        List<DecidedReservation> decided = new ArrayList<>();
        while (!pending.isEmpty() && credit.spend(pending.peekFirst().tokens())) {
            PendingReservation covered = pending.pollFirst();
            pendingTokens -= covered.tokens();
            demand.add(covered.tokens(), nowNanos);
            decided.add(new DecidedReservation(covered, Optional.empty()));
        }
        refuseExpired(nowNanos, decided);
        return decided;
    }

    /** Refuses the pending reservations whose deadline has passed and adds them to the decided ones. */
    private void refuseExpired(long nowNanos, List<DecidedReservation> decided) {
        long tokensUpToThis = 0;
        Iterator<PendingReservation> remaining = pending.iterator();
        while (remaining.hasNext()) {
            PendingReservation reservation = remaining.next();
            tokensUpToThis += reservation.tokens();
            if (reservation.deadline().hasPassed(nowNanos)) {
                remaining.remove();
                pendingTokens -= reservation.tokens();
                decided.add(refuse(reservation, nowNanos + accrualNanos(tokensUpToThis - credit.available())));
            }
        }
    }

    /**
     * Creates a refusal. Its code says whether the owner has replied since the reservation arrived, so that a caller
     * can tell an exceeded rate from an unreachable owner.
     *
     * @param reservation the reservation
     * @param coveredAtNanos when the bucket is predicted to cover the reservation
     * @return the refusal
     */
    private DecidedReservation refuse(PendingReservation reservation, long coveredAtNanos) {
        boolean hasReplied = hasReply && lastReplyAtNanos - reservation.arrivedAtNanos() >= 0;
        ResultCode code = hasReplied ? ResultCode.RATE_EXCEEDED : ResultCode.QUOTA_OWNER_UNREACHABLE;
        return new DecidedReservation(
                reservation, Optional.of(new TokenQuota.Decision.Refused(code, new Deadline(coveredAtNanos))));
    }

    /** Returns the time in which the workspace's rate yields the given tokens. */
    private long accrualNanos(long tokens) {
        if (tokens <= 0) {
            return 0;
        }
        double rate = Math.max(1, workspace.rateTokensPerSecond());
        return (long) (tokens / rate * NANOS_PER_SECOND);
    }

    /**
     * Processes a reply of the owner. Replies to any other request than the unanswered one are ignored.
     *
     * @param reply the reply
     * @param nowNanos the current time of the clock
     * @return the refusals of reservations that cannot be covered before their deadline
     */
    List<DecidedReservation> handleReply(CreditReply reply, long nowNanos) {
        if (openRequest == null
                || reply.sequence() != openRequest.request().sequence()
                || reply.epoch() != openRequest.request().epoch()) {
            return List.of();
        }
        OpenRequest answeredRequest = openRequest;
        openRequest = null;
        if (reply.status() == Status.NOT_OWNER || reply.status() == Status.OUTDATED) {
            nextRequestAtNanos = nowNanos + RETRY_DELAY_NANOS;
            return List.of();
        }
        hasReply = true;
        lastReplyAtNanos = nowNanos;
        credit.confirmTotals(answeredRequest.request());
        reportDueAtNanos = nowNanos + settings.reportInterval().toNanos();
        if (reply.status() == Status.CLOSING) {
            credit.returnAllAbove(0);
            nextRequestAtNanos = nowNanos + RETRY_DELAY_NANOS;
            reportDueAtNanos = nowNanos;
            return List.of();
        }
        credit.recordReport(reply);
        long expiry = answeredRequest.firstSentAtNanos() + reply.lifetimeNanos();
        if (nowNanos - expiry >= 0) {
            return List.of();
        }
        credit.addGrant(reply, expiry);
        isIdleCreditRecalled = reply.returnIdle();
        nextRequestAtNanos = nowNanos + pollDelayNanos(reply.waitNanos());
        return reply.waitNanos() > 0 ? refuseUncoverable(reply.waitNanos(), nowNanos) : List.of();
    }

    /** Returns the delay before the next request: the owner's predicted wait, at most one report interval. */
    private long pollDelayNanos(long waitNanos) {
        return Math.min(waitNanos, settings.reportInterval().toNanos());
    }

    /**
     * Refuses the reservations that are predicted to be covered only after their deadline.
     *
     * @param firstWaitNanos the owner's predicted wait for the first pending reservation
     * @param nowNanos the current time of the clock
     * @return the refusals
     */
    private List<DecidedReservation> refuseUncoverable(long firstWaitNanos, long nowNanos) {
        List<DecidedReservation> decided = new ArrayList<>();
        long tokensAfterFirst = 0;
        boolean isFirst = true;
        Iterator<PendingReservation> remaining = pending.iterator();
        while (remaining.hasNext()) {
            PendingReservation reservation = remaining.next();
            long ownTokens = isFirst ? 0 : reservation.tokens();
            isFirst = false;
            long coveredAtNanos = nowNanos + firstWaitNanos + accrualNanos(tokensAfterFirst + ownTokens);
            if (reservation.deadline().atNanos() - coveredAtNanos < 0) {
                remaining.remove();
                pendingTokens -= reservation.tokens();
                decided.add(refuse(reservation, coveredAtNanos));
            } else {
                tokensAfterFirst += ownTokens;
            }
        }
        return decided;
    }

    /**
     * Returns the request to send now: a new one, or the unanswered one if it is time to resend it. An unanswered
     * request is abandoned after the credit lifetime, since any credit it granted would have expired.
     *
     * @param ownerEpoch the epoch of the current owner; ignored if older than the last known one
     * @param nowNanos the current time of the clock
     * @return the request, or empty if none is due
     */
    Optional<CreditRequest> nextRequest(long ownerEpoch, long nowNanos) {
        if (ownerEpoch < epoch) {
            return Optional.empty();
        }
        if (ownerEpoch > epoch) {
            switchOwner(ownerEpoch, nowNanos);
        }
        credit.expire(nowNanos);
        if (openRequest != null
                && nowNanos - openRequest.firstSentAtNanos()
                        >= settings.creditLifetime().toNanos()) {
            openRequest = null;
        }
        if (openRequest != null) {
            return resendIfDue(nowNanos);
        }
        if (nowNanos - nextRequestAtNanos < 0 || !isRequestDue(nowNanos)) {
            return Optional.empty();
        }
        CreditRequest request = newRequest(nowNanos);
        openRequest = new OpenRequest(request, nowNanos, nextResendAtNanos(nowNanos));
        return Optional.of(request);
    }

    /** Starts over with a new owner. All credit of the previous owner has expired with its lease. */
    private void switchOwner(long ownerEpoch, long nowNanos) {
        epoch = ownerEpoch;
        openRequest = null;
        credit.resetForNewOwner();
        nextRequestAtNanos = nowNanos;
    }

    private Optional<CreditRequest> resendIfDue(long nowNanos) {
        if (nowNanos - openRequest.resendAtNanos() < 0) {
            return Optional.empty();
        }
        openRequest =
                new OpenRequest(openRequest.request(), openRequest.firstSentAtNanos(), nextResendAtNanos(nowNanos));
        return Optional.of(openRequest.request());
    }

    private long nextResendAtNanos(long nowNanos) {
        return nowNanos + settings.resendInterval().toNanos();
    }

    /** Returns whether credit is needed, a report is due, or less than half of the prefetch target is left. */
    private boolean isRequestDue(long nowNanos) {
        if (pendingTokens > 0) {
            return true;
        }
        if (nowNanos - reportDueAtNanos >= 0 && credit.hasPendingReport()) {
            return true;
        }
        long target = prefetchTarget(nowNanos);
        boolean isBelowTarget = target > 0 && credit.available() < target / 2 && !isIdleCreditRecalled;
        return isBelowTarget && nowNanos - lastReplyAtNanos >= MIN_PREFETCH_INTERVAL_NANOS;
    }

    /** Returns the credit to hold in advance: the estimated demand over the prefetch horizon, in tokens. */
    private long prefetchTarget(long nowNanos) {
        double horizonSeconds = settings.prefetchHorizon().toNanos() / NANOS_PER_SECOND;
        return (long) (demand.tokensPerSecondAt(nowNanos) * horizonSeconds);
    }

    /**
     * Creates the next request. If no reservation is pending, it also returns the credit beyond one and a half times
     * the prefetch target, or all credit if the owner has asked for unused credit.
     */
    private CreditRequest newRequest(long nowNanos) {
        long target = prefetchTarget(nowNanos);
        if (pending.isEmpty()) {
            credit.returnAllAbove(isIdleCreditRecalled ? 0 : target + target / 2);
        }
        isIdleCreditRecalled = false;
        long amount = credit.available();
        long needed = pending.isEmpty() ? 0 : Math.max(0, pending.peekFirst().tokens() - amount);
        sequence++;
        return new CreditRequest(
                shard,
                epoch,
                session,
                sequence,
                workspace.name(),
                credit.accepted(),
                credit.spent(),
                credit.returned(),
                needed,
                Math.max(0, pendingTokens - amount),
                Math.max(0, target - Math.max(0, amount - pendingTokens)),
                credit.drainRefunds());
    }

    /**
     * Schedules the resend of the unanswered request after the owner could not be reached.
     *
     * @param sequenceNumber the sequence number of the request that failed; ignored if it is no longer the unanswered
     *     one
     * @param nowNanos the current time of the clock
     */
    void rescheduleResend(long sequenceNumber, long nowNanos) {
        if (openRequest != null && openRequest.request().sequence() == sequenceNumber) {
            openRequest = new OpenRequest(
                    openRequest.request(), openRequest.firstSentAtNanos(), nowNanos + RETRY_DELAY_NANOS);
        }
    }

    /** Returns all credit with the next report. */
    void returnAllCredit() {
        credit.returnAllAbove(0);
    }

    /**
     * Returns when the ledger has to be processed next: for a resend, a request, a report or the deadline of a
     * reservation.
     *
     * @param nowNanos the current time of the clock
     * @return the time, or empty if nothing is pending
     */
    Optional<Deadline> nextWakeUp(long nowNanos) {
        long wakeNanos = nowNanos + settings.creditLifetime().toNanos();
        boolean isPending = false;
        if (openRequest != null) {
            wakeNanos = earlier(wakeNanos, openRequest.resendAtNanos());
            isPending = true;
        } else if (pendingTokens > 0) {
            wakeNanos = earlier(wakeNanos, nextRequestAtNanos);
        }
        for (PendingReservation reservation : pending) {
            wakeNanos = earlier(wakeNanos, reservation.deadline().atNanos());
            isPending = true;
        }
        if (credit.hasPendingReport()) {
            long reportNanos = nowNanos - reportDueAtNanos >= 0 ? nextRequestAtNanos : reportDueAtNanos;
            wakeNanos = earlier(wakeNanos, reportNanos);
            isPending = true;
        }
        return isPending ? Optional.of(new Deadline(wakeNanos)) : Optional.empty();
    }

    private static long earlier(long one, long other) {
        return one - other <= 0 ? one : other;
    }

    /** Returns the stamp of tokens that are spent now. */
    SpendStamp stamp() {
        return new SpendStamp(epoch, sequence + 1);
    }

    int shard() {
        return shard;
    }

    /** Returns the credit that can be spent, in tokens. */
    long availableTokens() {
        return credit.available();
    }

    /** Returns whether there is no credit, no pending reservation, no unanswered request and nothing left to report. */
    boolean isIdle() {
        return openRequest == null && pending.isEmpty() && !credit.hasPendingReport();
    }
}
