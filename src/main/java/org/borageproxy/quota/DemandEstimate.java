package org.borageproxy.quota;

/** Estimates the tokens spent each second by exponential decay over about a second. Not thread safe. */
final class DemandEstimate {

    /** The time constant of the decay in nanoseconds. */
    private static final double TIME_CONSTANT_NANOS = 1e9;

    /** The decayed sum, which is also the tokens spent each second. */
    private double tokensPerSecond;

    /** When the sum was decayed last. */
    private long decayedAtNanos;

    /**
     * Counts spent tokens.
     *
     * @param tokens the tokens
     * @param nowNanos the time now
     */
    void add(long tokens, long nowNanos) {
        tokensPerSecond = tokensPerSecondAt(nowNanos) + tokens;
        decayedAtNanos = nowNanos;
    }

    /**
     * Returns the estimate.
     *
     * @param nowNanos the time now
     * @return tokens spent each second
     */
    double tokensPerSecondAt(long nowNanos) {
        return tokensPerSecond * Math.exp(-Math.max(0, nowNanos - decayedAtNanos) / TIME_CONSTANT_NANOS);
    }
}
