package org.borageproxy.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The credit that an entry holds for one workspace, with the totals that it reports to the owner. Credit is spent only
 * until it expires, at the latest when the lease ends under which it was granted. Not thread safe.
 */
final class EntryCredit {

    /** Maximum number of remembered reports; refunds that refer to older ones are dropped. */
    private static final int MAX_REPORTS = 2_048;

    /** Total credit received in time. */
    private long accepted;

    /** Total credit spent. */
    private long spent;

    /** Total credit given up without spending it. */
    private long returned;

    /**
     * Sum of the spent and returned credit in the last report that the owner confirmed, or at the change to a new
     * owner.
     */
    private long confirmedTotal;

    private long expiresAtNanos;

    /** Owner's clock when it applied a report, by the report's sequence number. */
    private final TreeMap<Long, Long> ownerNanosByReport = new TreeMap<>();

    /** Tokens to refund, by the sequence number of the report in which they were first reported as spent. */
    private final Map<Long, Long> refundsByReport = new LinkedHashMap<>();

    /** Returns the credit that can be spent, in tokens. */
    long available() {
        return accepted - spent - returned;
    }

    /**
     * Spends credit if it suffices.
     *
     * @param tokens the tokens to spend
     * @return {@code false} if the credit does not suffice; nothing is spent then
     */
    boolean spend(long tokens) {
        if (tokens > available()) {
            return false;
        }
        spent += tokens;
        return true;
    }

    /**
     * Adds granted credit. A grant also extends the lifetime of the credit already held.
     *
     * @param reply the owner's reply
     * @param expiry when the credit expires, on this VM's clock
     */
    void addGrant(CreditReply reply, long expiry) {
        accepted += reply.granted();
        expiresAtNanos = available() == reply.granted() ? expiry : Math.max(expiresAtNanos, expiry);
    }

    /** Records when the owner applied a report, for refunds that refer to it. */
    void recordReport(CreditReply reply) {
        ownerNanosByReport.put(reply.sequence(), reply.ownerNanos());
        if (ownerNanosByReport.size() > MAX_REPORTS) {
            ownerNanosByReport.pollFirstEntry();
        }
    }

    /** Gives up all credit if it has expired. */
    void expire(long nowNanos) {
        if (nowNanos - expiresAtNanos >= 0) {
            returnAllAbove(0);
        }
    }

    /**
     * Gives up the credit above a limit; the next report returns it to the owner.
     *
     * @param tokensToKeep the credit to keep
     */
    void returnAllAbove(long tokensToKeep) {
        returned += Math.max(0, available() - tokensToKeep);
    }

    /** Gives up all credit and drops the refunds, since neither is valid with a new owner. */
    void resetForNewOwner() {
        returnAllAbove(0);
        refundsByReport.clear();
        ownerNanosByReport.clear();
        confirmedTotal = spent + returned;
    }

    /**
     * Records unused tokens of a reservation.
     *
     * @param report the sequence number of the report in which they are first reported as spent
     * @param tokens the unused tokens
     */
    void addRefund(long report, long tokens) {
        refundsByReport.merge(report, tokens, Long::sum);
    }

    /**
     * Removes and returns the refunds of tokens that the owner already knows as spent. Each refund is sent in one
     * request only, since a repeated refund would be credited twice.
     */
    List<TokenRefund> drainRefunds() {
        List<TokenRefund> refunds = new ArrayList<>();
        long lastAppliedReport = ownerNanosByReport.isEmpty() ? Long.MIN_VALUE : ownerNanosByReport.lastKey();
        refundsByReport.entrySet().removeIf(entry -> {
            boolean isApplied = entry.getKey() <= lastAppliedReport;
            if (isApplied) {
                ownerNanosNoLaterThan(entry.getKey())
                        .ifPresent(nanos -> refunds.add(new TokenRefund(nanos, entry.getValue())));
            }
            return isApplied;
        });
        return refunds;
    }

    /**
     * Returns a reading of the owner's clock no later than when it applied a report. A report without a reply may have
     * been applied at any time after the answered one before it.
     *
     * @param report the report's sequence number
     * @return empty if the report is no longer remembered
     */
    private Optional<Long> ownerNanosNoLaterThan(long report) {
        return Optional.ofNullable(ownerNanosByReport.floorEntry(report)).map(Map.Entry::getValue);
    }

    /** Records that the owner has applied the totals of a request. */
    void confirmTotals(CreditRequest request) {
        confirmedTotal = request.spent() + request.returned();
    }

    /** Returns whether there are totals or refunds that the owner does not know yet, or credit to renew. */
    boolean hasPendingReport() {
        return available() > 0 || !refundsByReport.isEmpty() || spent + returned > confirmedTotal;
    }

    /** Returns the total credit received in time. */
    long accepted() {
        return accepted;
    }

    /** Returns the total credit spent. */
    long spent() {
        return spent;
    }

    /** Returns the total credit given up without spending it. */
    long returned() {
        return returned;
    }

    long expiresAtNanos() {
        return expiresAtNanos;
    }
}
