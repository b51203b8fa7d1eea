package org.borageproxy.admission;

/**
 * Estimates how fast a pool serves and how long a request holds its place, by exponential averages over finished
 * requests. Not thread safe.
 */
final class ServiceEstimate {

    /** The weight of a new observation. */
    private static final double WEIGHT = 0.1;

    /** The finished requests before the estimate is trusted. */
    private static final int TRUSTED_AFTER = 10;

    /** The finished requests. */
    private int observations;

    /** The average time that a token of cost holds a place, in nanoseconds. */
    private double nanosPerToken;

    /** The average time that a request holds its place, in nanoseconds. */
    private double nanosPerRequest;

    /**
     * Counts a finished request.
     *
     * @param tokens its cost
     * @param heldNanos how long it held its place
     */
    void count(long tokens, long heldNanos) {
        double perToken = (double) heldNanos / Math.max(1, tokens);
        double weight = Math.max(WEIGHT, 1.0 / (observations + 1));
        nanosPerToken += weight * (perToken - nanosPerToken);
        nanosPerRequest += weight * (heldNanos - nanosPerRequest);
        observations = Math.min(observations + 1, TRUSTED_AFTER);
    }

    /**
     * Predicts how long work before a request keeps it waiting.
     *
     * @param tokensBefore the cost of the work before it
     * @param slots the places of the pool
     * @return nanoseconds; zero while the estimate is not trusted or the pool has no places
     */
    long waitNanos(long tokensBefore, int slots) {
        if (!isTrusted() || slots <= 0) {
            return 0;
        }
        return (long) (tokensBefore * nanosPerToken / slots);
    }

    /**
     * Predicts how long a request holds its place.
     *
     * @return nanoseconds; zero while the estimate is not trusted
     */
    long serviceNanos() {
        return isTrusted() ? (long) nanosPerRequest : 0;
    }

    /**
     * Tells whether enough requests have finished.
     *
     * @return {@code true} if the estimate is trusted
     */
    private boolean isTrusted() {
        return observations >= TRUSTED_AFTER;
    }
}
