package org.borageproxy.admission;

/**
 * Estimates the dispatch rate of a pool's queue and the time for which a request occupies its slot, by exponential
 * moving averages. The dispatch rate is measured and not derived from the number of slots, since several pools share
 * the same engines. Not thread safe.
 */
final class ServiceEstimate {

    /** Weight of a new observation. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    /** Number of observations from which on an average is used. */
    private static final int MIN_OBSERVATIONS = 10;

    /** Average time for which a slot is occupied per token of cost, in nanoseconds. */
    private final Average slotNanosPerToken = new Average();

    /** Average time between two dispatches of a non-empty queue per token of cost, in nanoseconds. */
    private final Average dispatchNanosPerToken = new Average();

    /** An exponential moving average; its first observations have equal weights. */
    private static final class Average {

        /** Number of observations, capped at {@link #MIN_OBSERVATIONS}. */
        private int observations;

        private double value;

        void add(double observation) {
            double weight = Math.max(SMOOTHING_WEIGHT, 1.0 / (observations + 1));
            value += weight * (observation - value);
            observations = Math.min(observations + 1, MIN_OBSERVATIONS);
        }

        /** Returns the average, or zero while there are fewer than {@link #MIN_OBSERVATIONS} observations. */
        double valueOrZero() {
            return observations >= MIN_OBSERVATIONS ? value : 0;
        }
    }

    /**
     * Records that a request has released its slot.
     *
     * @param tokens its cost
     * @param occupiedNanos the time for which it occupied the slot
     */
    void recordFinished(long tokens, long occupiedNanos) {
        slotNanosPerToken.add((double) occupiedNanos / Math.max(1, tokens));
    }

    /**
     * Records a dispatch from a non-empty queue.
     *
     * @param tokens the cost of the request
     * @param sinceLastNanos the time since the previous dispatch, or since the queue became non-empty
     */
    void recordDispatched(long tokens, long sinceLastNanos) {
        dispatchNanosPerToken.add((double) sinceLastNanos / Math.max(1, tokens));
    }

    /**
     * Predicts the time to dispatch requests of the given total cost.
     *
     * @param tokens the cost in tokens
     * @return nanoseconds; zero while there are too few observations
     */
    long predictWaitNanos(double tokens) {
        return (long) (tokens * dispatchNanosPerToken.valueOrZero());
    }

    /**
     * Predicts the time for which a request occupies its slot.
     *
     * @param tokens its cost
     * @return nanoseconds; zero while there are too few observations
     */
    long predictServiceNanos(long tokens) {
        return (long) (tokens * slotNanosPerToken.valueOrZero());
    }
}
