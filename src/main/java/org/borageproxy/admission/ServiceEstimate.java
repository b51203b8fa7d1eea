package org.borageproxy.admission;

/**
 * Estimates how fast a pool takes requests from its queue and how long a request holds its place, by exponential
 * averages. The speed of the queue is observed and not computed from the places, since pools share engines. Not thread
 * safe.
 */
final class ServiceEstimate {

    /** The weight of a new observation. */
    private static final double WEIGHT = 0.1;

    /** The observations before an average is trusted. */
    private static final int TRUSTED_AFTER = 10;

    /** The average time that a token of cost holds a place, in nanoseconds. */
    private final Average heldPerToken = new Average();

    /** The average time between dispatches while requests wait, for each token of cost, in nanoseconds. */
    private final Average queuedPerToken = new Average();

    /** An exponential average. */
    private static final class Average {

        /** The observations, up to the number that is trusted. */
        private int observations;

        /** The average. */
        private double value;

        /**
         * Adds an observation.
         *
         * @param observation the observed value
         */
        void add(double observation) {
            double weight = Math.max(WEIGHT, 1.0 / (observations + 1));
            value += weight * (observation - value);
            observations = Math.min(observations + 1, TRUSTED_AFTER);
        }

        /**
         * Returns the average.
         *
         * @return the average; zero while there are too few observations
         */
        double trusted() {
            return observations >= TRUSTED_AFTER ? value : 0;
        }
    }

    /**
     * Counts a finished request.
     *
     * @param tokens its cost
     * @param heldNanos how long it held its place
     */
    void recordFinished(long tokens, long heldNanos) {
        heldPerToken.add((double) heldNanos / Math.max(1, tokens));
    }

    /**
     * Counts a request that was dispatched while requests waited.
     *
     * @param tokens its cost
     * @param sinceLastNanos the time since the dispatch before, or since requests began to wait
     */
    void recordDispatched(long tokens, long sinceLastNanos) {
        queuedPerToken.add((double) sinceLastNanos / Math.max(1, tokens));
    }

    /**
     * Predicts how long work before a request keeps it waiting.
     *
     * @param tokensBefore the cost of the work before it
     * @return nanoseconds; zero while the estimate is not trusted
     */
    long predictWaitNanos(double tokensBefore) {
        return (long) (tokensBefore * queuedPerToken.trusted());
    }

    /**
     * Predicts how long a request holds its place.
     *
     * @param tokens its cost
     * @return nanoseconds; zero while the estimate is not trusted
     */
    long predictServiceNanos(long tokens) {
        return (long) (tokens * heldPerToken.trusted());
    }
}
