package org.borageproxy.quota;

/**
 * The bucket of one workspace at its owner. At all times the level and the outstanding credit together are at most the
 * burst, so that what entries spend over any window is at most the burst plus the rate times the window. Not thread
 * safe.
 */
final class TokenBucket {

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** How far the bucket was from full. */
    private final HeadroomHistory history = new HeadroomHistory();

    /** Tokens added each second. */
    private long rate;

    /** The most tokens that may be in the bucket and outstanding together. */
    private long burst;

    /** Tokens that can be granted. */
    private double level;

    /** Tokens granted to entries and neither spent, returned nor written off. */
    private long outstanding;

    /** When tokens were added last. */
    private long accruedAtNanos;

    /**
     * Creates a bucket.
     *
     * @param rate tokens added each second
     * @param burst the capacity
     * @param level the tokens in it
     * @param nowNanos the time now
     */
    TokenBucket(long rate, long burst, double level, long nowNanos) {
        this.rate = rate;
        this.burst = burst;
        this.level = Math.min(level, burst);
        this.accruedAtNanos = nowNanos;
        history.add(nowNanos, headroom());
    }

    /**
     * Returns the tokens that the bucket lacks.
     *
     * @return tokens
     */
    private double headroom() {
        return Math.max(0, burst - outstanding - level);
    }

    /**
     * Adds the tokens of the time that has passed.
     *
     * @param nowNanos the time now
     */
    void refill(long nowNanos) {
        long elapsedNanos = Math.max(0, nowNanos - accruedAtNanos);
        accruedAtNanos = Math.max(accruedAtNanos, nowNanos);
        double full = Math.max(0, burst - outstanding);
        level = Math.min(level + rate * (elapsedNanos / NANOS_PER_SECOND), full);
        history.add(accruedAtNanos, headroom());
    }

    /**
     * Changes rate and burst; the level and the credit outstanding stay within the new burst as soon as they can.
     *
     * @param newRate tokens added each second from now on
     * @param newBurst the new capacity
     * @param nowNanos the time now
     */
    void changeLimits(long newRate, long newBurst, long nowNanos) {
        refill(nowNanos);
        if (newRate == rate && newBurst == burst) {
            return;
        }
        rate = newRate;
        burst = newBurst;
        level = Math.min(level, Math.max(0, burst - outstanding));
        history.clear();
        history.add(accruedAtNanos, 0);
    }

    /**
     * Turns tokens into outstanding credit.
     *
     * @param tokens at most the level
     */
    void grant(long tokens) {
        level -= tokens;
        outstanding += tokens;
    }

    /**
     * Takes credit that was spent, or that may have been, out of the outstanding.
     *
     * @param tokens the credit
     */
    void spend(long tokens) {
        outstanding -= tokens;
    }

    /**
     * Takes credit back that will certainly not be spent.
     *
     * @param tokens the credit
     */
    void reclaim(long tokens) {
        outstanding -= tokens;
        level = Math.min(level + tokens, Math.max(0, burst - outstanding));
    }

    /**
     * Adds tokens of a reservation that did not use them, as far as the bucket would hold them had they not been taken.
     *
     * @param sinceNanos a moment no later than when the tokens were taken out of the outstanding
     * @param tokens the unused tokens
     */
    void refund(long sinceNanos, long tokens) {
        history.add(accruedAtNanos, headroom());
        double worth = Math.min(tokens, history.minimumSince(sinceNanos, accruedAtNanos));
        level += worth;
        history.subtractSince(sinceNanos, tokens);
        history.add(accruedAtNanos, headroom());
    }

    /**
     * Returns when the bucket will hold a number of tokens.
     *
     * @param tokens the tokens
     * @return nanoseconds from the last accrual
     */
    long nanosUntil(double tokens) {
        if (tokens <= level) {
            return 0;
        }
        return rate == 0 ? Long.MAX_VALUE / 4 : (long) ((tokens - level) / rate * NANOS_PER_SECOND) + 1;
    }

    /**
     * Returns the whole tokens that can be granted.
     *
     * @return tokens
     */
    long level() {
        return (long) Math.floor(level);
    }

    /**
     * Returns the outstanding credit.
     *
     * @return tokens
     */
    long outstanding() {
        return outstanding;
    }

    /**
     * Returns the capacity.
     *
     * @return tokens
     */
    long burst() {
        return burst;
    }
}
