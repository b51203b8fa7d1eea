package org.borageproxy.quota;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Records the headroom of a token bucket: the tokens that it lacks to be full. A refund is limited to the minimum
 * headroom since the tokens were spent, because beyond that the bucket would have overflowed had they not been spent.
 * All results are lower bounds of the true minimum. Not thread safe.
 */
final class HeadroomHistory {

    /** Age from which tokens cannot be refunded, in nanoseconds. */
    private static final long HORIZON_NANOS = 300_000_000_000L;

    /** Maximum number of samples; beyond it, the two oldest are merged. */
    private static final int MAX_SAMPLES = 2_048;

    /** Samples in the order of time. */
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    /** The minimum headroom of the period between the previous sample and this one. */
    private static final class Sample {

        /** End of the period. */
        private final long atNanos;

        private double headroom;

        Sample(long atNanos, double headroom) {
            this.atNanos = atNanos;
            this.headroom = headroom;
        }
    }

    /**
     * Adds the headroom at the given time.
     *
     * @param nowNanos the time, not before the last sample
     * @param headroom the tokens that the bucket lacks to be full
     */
    void add(long nowNanos, double headroom) {
        while (!samples.isEmpty() && samples.peekLast().headroom >= headroom) {
            samples.pollLast();
        }
        samples.addLast(new Sample(nowNanos, headroom));
        if (samples.size() > MAX_SAMPLES) {
            Sample oldest = samples.pollFirst();
            samples.peekFirst().headroom = Math.min(oldest.headroom, samples.peekFirst().headroom);
        }
        while (nowNanos - samples.peekFirst().atNanos > HORIZON_NANOS) {
            samples.pollFirst();
        }
    }

    /**
     * Returns the minimum headroom since the given time.
     *
     * @param sinceNanos the start of the period, exclusive
     * @param nowNanos the current time of the clock
     * @return tokens; zero if the start is beyond the horizon or there is no later sample
     */
    double minimumSince(long sinceNanos, long nowNanos) {
        if (nowNanos - sinceNanos > HORIZON_NANOS) {
            return 0;
        }
        double minimum = Double.MAX_VALUE;
        Iterator<Sample> newestFirst = samples.descendingIterator();
        while (newestFirst.hasNext()) {
            Sample sample = newestFirst.next();
            if (sample.atNanos <= sinceNanos) {
                break;
            }
            minimum = Math.min(minimum, sample.headroom);
        }
        return minimum == Double.MAX_VALUE ? 0 : minimum;
    }

    /**
     * Lowers the headroom since the given time by refunded tokens, since they count as if they had never been spent.
     */
    void subtractSince(long sinceNanos, double tokens) {
        Iterator<Sample> newestFirst = samples.descendingIterator();
        while (newestFirst.hasNext()) {
            Sample sample = newestFirst.next();
            if (sample.atNanos <= sinceNanos) {
                break;
            }
            sample.headroom = Math.max(0, sample.headroom - tokens);
        }
    }

    /** Removes all samples, so that tokens spent before now cannot be refunded. */
    void clear() {
        samples.clear();
    }
}
