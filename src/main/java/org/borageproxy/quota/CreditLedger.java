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
 * The decisions of an entry about one workspace: it spends only credit that it holds, keeps reservations waiting in
 * order of arrival while the owner is asked, and returns what it does not need. At most one request to the owner is
 * open. Not thread safe.
 */
final class CreditLedger {

    /** The shortest time between two requests for prefetched credit, in nanoseconds. */
    private static final long PREFETCH_INTERVAL_NANOS = 20_000_000L;

    /** When to ask again after an owner refused to act, in nanoseconds. */
    private static final long RETRY_NANOS = 20_000_000L;

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** Names this run of the process. */
    private final String session;

    /** The shard of the workspace. */
    private final int shard;

    /** The times that govern credit. */
    private final QuotaSettings settings;

    /** The held credit. */
    private final EntryCredit held = new EntryCredit();

    /** What is spent each second. */
    private final DemandEstimate demand = new DemandEstimate();

    /** The reservations that wait, in order of arrival. */
    private final ArrayDeque<PendingReservation> waiters = new ArrayDeque<>();

    /** The tokens that all waiting reservations need. */
    private long waitingTokens;

    /** The workspace's settings. */
    private Workspace workspace;

    /** The epoch of the owner that was asked last. */
    private long epoch = -1;

    /** The sequence number of the last request. */
    private long sequence;

    /** The open request, or {@code null}. */
    private OpenRequest open;

    /** When the owner may be asked again. */
    private long askAgainAtNanos;

    /** When a report is due if there is something to report. */
    private long reportAtNanos;

    /** When the owner answered last. */
    private long answeredAtNanos;

    /** Whether the owner has answered at all. */
    private boolean answered;

    /** Whether the owner wants idle credit back. */
    private boolean returnIdle;

    /**
     * A request without an answer.
     *
     * @param request the request
     * @param askedAtNanos when it was sent first, from which lifetimes count
     * @param resendAtNanos when it is sent again
     */
    private record OpenRequest(CreditRequest request, long askedAtNanos, long resendAtNanos) {}

    /**
     * A reservation that was decided.
     *
     * @param waiter the reservation
     * @param refusal why and until when it is refused, or empty if the tokens are reserved
     */
    record DecidedReservation(PendingReservation waiter, Optional<TokenQuota.Decision.Refused> refusal) {}

    /**
     * A mark that tells by which report the owner learns of a reservation.
     *
     * @param epoch the epoch of the owner
     * @param report the sequence number of the report
     */
    record SpendStamp(long epoch, long report) {}

    /**
     * Creates a ledger that holds nothing.
     *
     * @param session names this run of the process
     * @param shard the shard of the workspace
     * @param workspace the workspace's settings
     * @param settings the times that govern credit
     * @param nowNanos the time now
     */
    CreditLedger(String session, int shard, Workspace workspace, QuotaSettings settings, long nowNanos) {
        this.session = session;
        this.shard = shard;
        this.workspace = workspace;
        this.settings = settings;
        this.askAgainAtNanos = nowNanos;
        this.reportAtNanos = nowNanos;
    }

    /**
     * Spends held credit at once if no other reservation waits.
     *
     * @param tokens the tokens
     * @param nowNanos the time now
     * @return the stamp of the reservation, or empty if it must wait
     */
    Optional<SpendStamp> trySpend(long tokens, long nowNanos) {
        held.expire(nowNanos);
        if (!waiters.isEmpty() || !held.spend(tokens)) {
            return Optional.empty();
        }
        demand.add(tokens, nowNanos);
        return Optional.of(stamp());
    }

    /**
     * Lets a reservation wait.
     *
     * @param waiter the reservation
     */
    void enqueue(PendingReservation waiter) {
        waiters.addLast(waiter);
        waitingTokens += waiter.tokens();
    }

    /**
     * Notes tokens that a reservation did not use; those of an earlier owner are lost.
     *
     * @param stamp when the reservation was made
     * @param tokens the tokens
     */
    void refund(SpendStamp stamp, long tokens) {
        if (stamp.epoch() == epoch && tokens > 0) {
            held.addRefund(stamp.report(), tokens);
        }
    }

    /**
     * Takes the workspace's current settings.
     *
     * @param current the settings
     */
    void updateWorkspace(Workspace current) {
        workspace = current;
    }

    /**
     * Decides the reservations that can be decided now.
     *
     * @param nowNanos the time now
     * @return the decided reservations in order
     */
    List<DecidedReservation> decidePending(long nowNanos) {
        held.expire(nowNanos);
        List<DecidedReservation> decided = new ArrayList<>();
        while (!waiters.isEmpty() && held.spend(waiters.peekFirst().tokens())) {
            PendingReservation served = waiters.pollFirst();
            waitingTokens -= served.tokens();
            demand.add(served.tokens(), nowNanos);
            decided.add(new DecidedReservation(served, Optional.empty()));
        }
        refuseExpired(nowNanos, decided);
        return decided;
    }

    /**
     * Refuses the reservations whose deadline has passed.
     *
     * @param nowNanos the time now
     * @param decided takes the refused reservations
     */
    private void refuseExpired(long nowNanos, List<DecidedReservation> decided) {
        long tokensBefore = 0;
        Iterator<PendingReservation> remaining = waiters.iterator();
        while (remaining.hasNext()) {
            PendingReservation waiter = remaining.next();
            tokensBefore += waiter.tokens();
            if (waiter.deadline().hasPassed(nowNanos)) {
                remaining.remove();
                waitingTokens -= waiter.tokens();
                decided.add(refused(waiter, nowNanos + accrualNanos(tokensBefore - held.available())));
            }
        }
    }

    /**
     * Refuses a reservation.
     *
     * @param waiter the reservation
     * @param coveredAtNanos when the bucket is predicted to cover it
     * @return the refusal, which says whether the owner was heard of since the reservation came
     */
    private DecidedReservation refused(PendingReservation waiter, long coveredAtNanos) {
        boolean reached = answered && answeredAtNanos - waiter.arrivedAtNanos() >= 0;
        ResultCode code = reached ? ResultCode.RATE_EXCEEDED : ResultCode.QUOTA_OWNER_UNREACHABLE;
        return new DecidedReservation(
                waiter, Optional.of(new TokenQuota.Decision.Refused(code, new Deadline(coveredAtNanos))));
    }

    /**
     * Returns the time in which the workspace's rate brings tokens.
     *
     * @param tokens the tokens
     * @return nanoseconds
     */
    private long accrualNanos(long tokens) {
        if (tokens <= 0) {
            return 0;
        }
        double rate = Math.max(1, workspace.rateTokensPerSecond());
        return (long) (tokens / rate * NANOS_PER_SECOND);
    }

    /**
     * Takes an answer of the owner; one to another request than the open one is dropped.
     *
     * @param reply the answer
     * @param nowNanos the time now
     * @return the reservations that cannot be covered before their deadline
     */
    List<DecidedReservation> handleReply(CreditReply reply, long nowNanos) {
        if (open == null
                || reply.sequence() != open.request().sequence()
                || reply.epoch() != open.request().epoch()) {
            return List.of();
        }
        OpenRequest answeredRequest = open;
        open = null;
        if (reply.status() == Status.NOT_OWNER || reply.status() == Status.OUTDATED) {
            askAgainAtNanos = nowNanos + RETRY_NANOS;
            return List.of();
        }
        answered = true;
        answeredAtNanos = nowNanos;
        held.confirmTotals(answeredRequest.request());
        reportAtNanos = nowNanos + settings.reportInterval().toNanos();
        if (reply.status() == Status.CLOSING) {
            held.returnAllAbove(0);
            askAgainAtNanos = nowNanos + RETRY_NANOS;
            reportAtNanos = nowNanos;
            return List.of();
        }
        held.recordReport(reply);
        long expiry = answeredRequest.askedAtNanos() + reply.lifetimeNanos();
        if (nowNanos - expiry >= 0) {
            return List.of();
        }
        held.addGrant(reply, expiry);
        returnIdle = reply.returnIdle();
        askAgainAtNanos = nowNanos + pollNanos(reply.waitNanos());
        return reply.waitNanos() > 0 ? refuseHopeless(reply.waitNanos(), nowNanos) : List.of();
    }

    /**
     * Returns when to ask again after an answer.
     *
     * @param waitNanos the owner's prediction
     * @return nanoseconds
     */
    private long pollNanos(long waitNanos) {
        return Math.min(waitNanos, settings.reportInterval().toNanos());
    }

    /**
     * Refuses the reservations that are predicted to be covered only after their deadline.
     *
     * @param firstNanos when the first reservation is predicted to be covered
     * @param nowNanos the time now
     * @return the refused reservations
     */
    private List<DecidedReservation> refuseHopeless(long firstNanos, long nowNanos) {
        List<DecidedReservation> decided = new ArrayList<>();
        long tokensAfterFirst = 0;
        boolean first = true;
        Iterator<PendingReservation> remaining = waiters.iterator();
        while (remaining.hasNext()) {
            PendingReservation waiter = remaining.next();
            long ownTokens = first ? 0 : waiter.tokens();
            first = false;
            long coveredAtNanos = nowNanos + firstNanos + accrualNanos(tokensAfterFirst + ownTokens);
            if (waiter.deadline().atNanos() - coveredAtNanos < 0) {
                remaining.remove();
                waitingTokens -= waiter.tokens();
                decided.add(refused(waiter, coveredAtNanos));
            } else {
                tokensAfterFirst += ownTokens;
            }
        }
        return decided;
    }

    /**
     * Returns the request to send now: a new one, or the open one again.
     *
     * @param ownerEpoch the epoch of the owner known now
     * @param nowNanos the time now
     * @return the request, or empty if none is due
     */
    Optional<CreditRequest> nextRequest(long ownerEpoch, long nowNanos) {
        if (ownerEpoch < epoch) {
            return Optional.empty();
        }
        if (ownerEpoch > epoch) {
            follow(ownerEpoch, nowNanos);
        }
        held.expire(nowNanos);
        if (open != null
                && nowNanos - open.askedAtNanos() >= settings.creditLifetime().toNanos()) {
            open = null;
        }
        if (open != null) {
            return resendDue(nowNanos);
        }
        if (nowNanos - askAgainAtNanos < 0 || !isRequestDue(nowNanos)) {
            return Optional.empty();
        }
        CreditRequest request = newRequest(nowNanos);
        open = new OpenRequest(request, nowNanos, resendAt(nowNanos));
        return Optional.of(request);
    }

    /**
     * Turns to a new owner; credit of the one before has ended with its lease.
     *
     * @param ownerEpoch the new owner's epoch
     * @param nowNanos the time now
     */
    private void follow(long ownerEpoch, long nowNanos) {
        epoch = ownerEpoch;
        open = null;
        held.resetForNewOwner();
        askAgainAtNanos = nowNanos;
    }

    /**
     * Returns the open request if it is due again.
     *
     * @param nowNanos the time now
     * @return the open request or empty
     */
    private Optional<CreditRequest> resendDue(long nowNanos) {
        if (nowNanos - open.resendAtNanos() < 0) {
            return Optional.empty();
        }
        open = new OpenRequest(open.request(), open.askedAtNanos(), resendAt(nowNanos));
        return Optional.of(open.request());
    }

    /**
     * Returns when a request is sent again.
     *
     * @param nowNanos the time now
     * @return the reading of the clock
     */
    private long resendAt(long nowNanos) {
        return nowNanos + settings.resendInterval().toNanos();
    }

    /**
     * Tells whether there is something to ask or report.
     *
     * @param nowNanos the time now
     * @return {@code true} if a request is due
     */
    private boolean isRequestDue(long nowNanos) {
        if (waitingTokens > 0) {
            return true;
        }
        if (nowNanos - reportAtNanos >= 0 && held.hasPendingReport()) {
            return true;
        }
        long target = prefetchTarget(nowNanos);
        boolean low = target > 0 && held.available() < target / 2 && !returnIdle;
        return low && nowNanos - answeredAtNanos >= PREFETCH_INTERVAL_NANOS;
    }

    /**
     * Returns the credit worth holding in advance.
     *
     * @param nowNanos the time now
     * @return tokens
     */
    private long prefetchTarget(long nowNanos) {
        double horizonSeconds = settings.prefetchHorizon().toNanos() / NANOS_PER_SECOND;
        return (long) (demand.tokensPerSecondAt(nowNanos) * horizonSeconds);
    }

    /**
     * Creates the next request and returns idle credit with it.
     *
     * @param nowNanos the time now
     * @return the request
     */
    private CreditRequest newRequest(long nowNanos) {
        long target = prefetchTarget(nowNanos);
        if (waiters.isEmpty()) {
            held.returnAllAbove(returnIdle ? 0 : target + target / 2);
        }
        returnIdle = false;
        long amount = held.available();
        long needed = waiters.isEmpty() ? 0 : Math.max(0, waiters.peekFirst().tokens() - amount);
        sequence++;
        return new CreditRequest(
                shard,
                epoch,
                session,
                sequence,
                workspace.name(),
                held.accepted(),
                held.spent(),
                held.returned(),
                needed,
                Math.max(0, waitingTokens - amount),
                Math.max(0, target - Math.max(0, amount - waitingTokens)),
                held.drainRefunds());
    }

    /**
     * Lets the open request be sent again soon because the owner could not be reached.
     *
     * @param sequenceNumber the request's sequence number
     * @param nowNanos the time now
     */
    void rescheduleResend(long sequenceNumber, long nowNanos) {
        if (open != null && open.request().sequence() == sequenceNumber) {
            open = new OpenRequest(open.request(), open.askedAtNanos(), nowNanos + RETRY_NANOS);
        }
    }

    /** Returns all held credit with the next request. */
    void returnAllCredit() {
        held.returnAllAbove(0);
    }

    /**
     * Returns when something may be due, so that the ledger must be looked at.
     *
     * @param nowNanos the time now
     * @return the reading of the clock, or empty if nothing is open
     */
    Optional<Deadline> nextWakeUp(long nowNanos) {
        long wakeNanos = nowNanos + settings.creditLifetime().toNanos();
        boolean something = false;
        if (open != null) {
            wakeNanos = earlier(wakeNanos, open.resendAtNanos());
            something = true;
        } else if (waitingTokens > 0) {
            wakeNanos = earlier(wakeNanos, askAgainAtNanos);
        }
        for (PendingReservation waiter : waiters) {
            wakeNanos = earlier(wakeNanos, waiter.deadline().atNanos());
            something = true;
        }
        if (held.hasPendingReport()) {
            long reportNanos = nowNanos - reportAtNanos >= 0 ? askAgainAtNanos : reportAtNanos;
            wakeNanos = earlier(wakeNanos, reportNanos);
            something = true;
        }
        return something ? Optional.of(new Deadline(wakeNanos)) : Optional.empty();
    }

    /**
     * Returns the earlier of two readings.
     *
     * @param one a reading of the clock
     * @param other a reading of the clock
     * @return the earlier one
     */
    private static long earlier(long one, long other) {
        return one - other <= 0 ? one : other;
    }

    /**
     * Returns the mark of a reservation made now.
     *
     * @return the stamp
     */
    SpendStamp stamp() {
        return new SpendStamp(epoch, sequence + 1);
    }

    /**
     * Returns the shard of the workspace.
     *
     * @return the shard
     */
    int shard() {
        return shard;
    }

    /**
     * Returns the credit that is held.
     *
     * @return tokens
     */
    long availableTokens() {
        return held.available();
    }

    /**
     * Tells whether nothing is held, waiting, open or left to report.
     *
     * @return {@code true} if the ledger is at rest
     */
    boolean isIdle() {
        return open == null && waiters.isEmpty() && !held.hasPendingReport();
    }
}
