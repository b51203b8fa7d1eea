package org.borageproxy.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The credit that this entry holds for one workspace, and the totals it reports. Credit is spent only before its
 * deadline, which lies no later than the end of the lease under which the owner granted it. Not thread safe.
 */
final class EntryCredit {

    /** The answered reports that are remembered. */
    private static final int MOST_REPORTS = 2_048;

    /** Credit accepted in total. */
    private long accepted;

    /** Credit spent in total. */
    private long spent;

    /** Credit returned in total. */
    private long returned;

    /** The spent and returned credit that the owner has confirmed. */
    private long confirmed;

    /** When the held credit can be spent no longer. */
    private long expiresAtNanos;

    /** When the owner took each report, on its clock, by the report's sequence number. */
    private final TreeMap<Long, Long> reportsTaken = new TreeMap<>();

    /** Tokens to give back, by the sequence number of the report that says that they were spent. */
    private final Map<Long, Long> giveBacks = new LinkedHashMap<>();

    /**
     * Returns the credit that can be spent now.
     *
     * @return tokens
     */
    long available() {
        return accepted - spent - returned;
    }

    /**
     * Spends credit if enough of it is held.
     *
     * @param tokens the tokens
     * @return whether they were spent
     */
    boolean spend(long tokens) {
        if (tokens > available()) {
            return false;
        }
        spent += tokens;
        return true;
    }

    /**
     * Accepts a grant together with the renewal of all held credit.
     *
     * @param reply the owner's answer
     * @param expiry when the credit can be spent no longer
     */
    void addGrant(CreditReply reply, long expiry) {
        accepted += reply.granted();
        expiresAtNanos = available() == reply.granted() ? expiry : Math.max(expiresAtNanos, expiry);
    }

    /**
     * Notes when the owner took a report.
     *
     * @param reply the owner's answer to it
     */
    void recordReport(CreditReply reply) {
        reportsTaken.put(reply.sequence(), reply.ownerNanos());
        if (reportsTaken.size() > MOST_REPORTS) {
            reportsTaken.pollFirstEntry();
        }
    }

    /**
     * Gives up the credit whose deadline has passed.
     *
     * @param nowNanos the time now
     */
    void expire(long nowNanos) {
        if (nowNanos - expiresAtNanos >= 0) {
            returnAllAbove(0);
        }
    }

    /**
     * Returns credit to the owner with the next report.
     *
     * @param tokens the credit to keep
     */
    void returnAllAbove(long tokens) {
        returned += Math.max(0, available() - tokens);
    }

    /** Forgets what belongs to an owner whose lease has ended. */
    void resetForNewOwner() {
        returnAllAbove(0);
        giveBacks.clear();
        reportsTaken.clear();
        confirmed = spent + returned;
    }

    /**
     * Notes tokens that a reservation did not use.
     *
     * @param report the sequence number of the report that says that they were spent
     * @param tokens the tokens
     */
    void addRefund(long report, long tokens) {
        giveBacks.merge(report, tokens, Long::sum);
    }

    /**
     * Takes the tokens to give back whose spending the owner knows of, so that they are reported in one request only.
     *
     * @return the tokens to give back
     */
    List<TokenRefund> drainRefunds() {
        List<TokenRefund> taken = new ArrayList<>();
        long lastTaken = reportsTaken.isEmpty() ? Long.MIN_VALUE : reportsTaken.lastKey();
        giveBacks.entrySet().removeIf(entry -> {
            boolean known = entry.getKey() <= lastTaken;
            if (known) {
                takenNoLaterThan(entry.getKey())
                        .ifPresent(nanos -> taken.add(new TokenRefund(nanos, entry.getValue())));
            }
            return known;
        });
        return taken;
    }

    /**
     * Returns a moment no later than when the owner took a report; an unanswered report may have been taken at any time
     * after the answered one before it.
     *
     * @param report the report's sequence number
     * @return the reading of the owner's clock, or empty if too long ago
     */
    private Optional<Long> takenNoLaterThan(long report) {
        return Optional.ofNullable(reportsTaken.floorEntry(report)).map(Map.Entry::getValue);
    }

    /**
     * Notes that the owner knows the totals of a request.
     *
     * @param request the request it answered
     */
    void confirmTotals(CreditRequest request) {
        confirmed = request.spent() + request.returned();
    }

    /**
     * Tells whether the owner has yet to hear something, or credit has to be renewed.
     *
     * @return {@code true} if a report is due
     */
    boolean hasPendingReport() {
        return available() > 0 || !giveBacks.isEmpty() || spent + returned > confirmed;
    }

    /**
     * Returns the credit accepted in total.
     *
     * @return tokens
     */
    long accepted() {
        return accepted;
    }

    /**
     * Returns the credit spent in total.
     *
     * @return tokens
     */
    long spent() {
        return spent;
    }

    /**
     * Returns the credit returned in total.
     *
     * @return tokens
     */
    long returned() {
        return returned;
    }

    /**
     * Returns when the held credit expires.
     *
     * @return the reading of the clock
     */
    long expiresAtNanos() {
        return expiresAtNanos;
    }
}
