package org.borageproxy.quota;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The credit that this entry holds for one workspace, and the totals it reports. Credit is spent only before its
 * deadline, which lies no later than the end of the lease under which the owner granted it. Not thread safe.
 */
final class HeldCredit {

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

    /** The reading of the owner's clock in its last answer. */
    private long ownerNanos;

    /** Tokens to give back, by a reading of the owner's clock before their reservation. */
    private final Map<Long, Long> giveBacks = new LinkedHashMap<>();

    /**
     * Returns the credit that can be spent now.
     *
     * @return tokens
     */
    long amount() {
        return accepted - spent - returned;
    }

    /**
     * Spends credit if enough of it is held.
     *
     * @param tokens the tokens
     * @return whether they were spent
     */
    boolean spend(long tokens) {
        if (tokens > amount()) {
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
    void accept(CreditReply reply, long expiry) {
        accepted += reply.granted();
        expiresAtNanos = amount() == reply.granted() ? expiry : Math.max(expiresAtNanos, expiry);
        ownerNanos = reply.ownerNanos();
    }

    /**
     * Gives up the credit whose deadline has passed.
     *
     * @param nowNanos the time now
     */
    void expire(long nowNanos) {
        if (nowNanos - expiresAtNanos >= 0) {
            keepAtMost(0);
        }
    }

    /**
     * Returns credit to the owner with the next report.
     *
     * @param tokens the credit to keep
     */
    void keepAtMost(long tokens) {
        returned += Math.max(0, amount() - tokens);
    }

    /** Forgets what belongs to an owner whose lease has ended. */
    void leaveOwner() {
        keepAtMost(0);
        giveBacks.clear();
        confirmed = spent + returned;
    }

    /**
     * Notes tokens that a reservation did not use.
     *
     * @param stamp the owner's clock as known when the reservation was made
     * @param tokens the tokens
     */
    void giveBack(long stamp, long tokens) {
        giveBacks.merge(stamp, tokens, Long::sum);
    }

    /**
     * Takes the tokens to give back, so that they are reported in one request only.
     *
     * @return the tokens to give back
     */
    List<GiveBack> takeGiveBacks() {
        List<GiveBack> taken = giveBacks.entrySet().stream()
                .map(entry -> new GiveBack(entry.getKey(), entry.getValue()))
                .toList();
        giveBacks.clear();
        return taken;
    }

    /**
     * Notes that the owner knows the totals of a request.
     *
     * @param request the request it answered
     */
    void confirm(CreditRequest request) {
        confirmed = request.spent() + request.returned();
    }

    /**
     * Tells whether the owner has yet to hear something, or credit has to be renewed.
     *
     * @return {@code true} if a report is due
     */
    boolean hasSomethingToReport() {
        return amount() > 0 || !giveBacks.isEmpty() || spent + returned > confirmed;
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

    /**
     * Returns the owner's clock as known.
     *
     * @return a reading that is no later than the owner's clock now
     */
    long ownerNanos() {
        return ownerNanos;
    }
}
