package org.borageproxy.quota;

/**
 * The token bucket of one workspace at its owner. Level and outstanding credit together never exceed the burst, so the
 * tokens spent by all entries within a period are at most the burst plus the rate times the period. Not thread safe.
 */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final HeadroomHistory history = new HeadroomHistory();

    /** Tokens added per second. */
    private long rate;

    /** Maximum sum of the level and the outstanding credit, in tokens. */
    private long burst;

    /** Tokens available for grants. */
    private double level;

    /** Tokens granted to entries and not yet spent, returned or written off. */
    private long outstanding;

    private long refilledAtNanos;

    /**
     * Creates a bucket.
     *
     * @param rate the tokens added per second
     * @param burst the capacity in tokens
     * @param level the initial tokens, capped at the capacity
     * @param nowNanos the current time of the clock
     */
    TokenBucket(long rate, long burst, double level, long nowNanos) {
        this.rate = rate;
        this.burst = burst;
        this.level = Math.min(level, burst);
        this.refilledAtNanos = nowNanos;
        history.add(nowNanos, headroom());
    }

    /** Returns the tokens that the bucket lacks to be full. */
    private double headroom() {
        return Math.max(0, burst - outstanding - level);
    }

    /** Adds the tokens accrued since the last call. */
    void refill(long nowNanos) {
        long elapsedNanos = Math.max(0, nowNanos - refilledAtNanos);
        refilledAtNanos = Math.max(refilledAtNanos, nowNanos);
        double capacity = Math.max(0, burst - outstanding);
        level = Math.min(level + rate * (elapsedNanos / NANOS_PER_SECOND), capacity);
        history.add(refilledAtNanos, headroom());
    }

    /**
     * Changes rate and burst. Outstanding credit beyond a lower burst stays valid; nothing is granted until it is used
     * up. After a change, tokens spent before cannot be refunded.
     *
     * @param newRate the tokens added per second
     * @param newBurst the capacity in tokens
     * @param nowNanos the current time of the clock
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
        history.add(refilledAtNanos, 0);
    }

    /**
     * Turns tokens into outstanding credit.
     *
     * @param tokens the tokens, at most the level
     */
    void grant(long tokens) {
        level -= tokens;
        outstanding += tokens;
    }

    /** Removes outstanding credit that was spent, or that may have been spent. */
    void spend(long tokens) {
        outstanding -= tokens;
    }

    /** Moves outstanding credit that was not spent, and never will be, back into the bucket. */
    void reclaim(long tokens) {
        outstanding -= tokens;
        level = Math.min(level + tokens, Math.max(0, burst - outstanding));
    }

    /**
     * Refunds unused tokens of a reservation. At most as many are added as the bucket would contain had they not been
     * spent.
     *
     * @param sinceNanos a time no later than when the tokens were reported as spent
     * @param tokens the unused tokens
     */
    void refund(long sinceNanos, long tokens) {
        history.add(refilledAtNanos, headroom());
        double refundable = Math.min(tokens, history.minimumSince(sinceNanos, refilledAtNanos));
        level += refundable;
        history.subtractSince(sinceNanos, tokens);
        history.add(refilledAtNanos, headroom());
    }

    /**
     * Returns the time from the last refill until the bucket contains the given tokens.
     *
     * @param tokens the tokens, which may exceed the capacity
     * @return nanoseconds; practically infinite if the rate is zero
     */
    long nanosUntil(double tokens) {
        if (tokens <= level) {
            return 0;
        }
        return rate == 0 ? Long.MAX_VALUE / 4 : (long) ((tokens - level) / rate * NANOS_PER_SECOND) + 1;
    }

    /** Returns the whole tokens available for grants. */
    long level() {
        return (long) Math.floor(level);
    }

    /** Returns the outstanding credit, in tokens. */
    long outstanding() {
        return outstanding;
    }

    /** Returns the capacity, in tokens. */
    long burst() {
        return burst;
    }
}
