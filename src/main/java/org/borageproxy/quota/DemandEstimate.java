package org.borageproxy.quota;

/** Estimates the tokens spent per second by a sum with exponential decay. Not thread safe. */
final class DemandEstimate {

    /**
     * Time constant of the decay in nanoseconds. It is one second, so that the decayed sum equals the rate per second.
     */
    private static final double TIME_CONSTANT_NANOS = 1e9;

    /** Estimate at the time of the last update. */
    private double tokensPerSecond;

    private long decayedAtNanos;

    /** Adds spent tokens. */
    void add(long tokens, long nowNanos) {
        tokensPerSecond = tokensPerSecondAt(nowNanos) + tokens;
        decayedAtNanos = nowNanos;
    }

    /** Returns the estimate at the given time. */
    double tokensPerSecondAt(long nowNanos) {
        return tokensPerSecond * Math.exp(-Math.max(0, nowNanos - decayedAtNanos) / TIME_CONSTANT_NANOS);
    }
}
