package org.borageproxy.quota;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Remembers how far a bucket was from full, so that tokens given back late are worth only what they would be worth had
 * they never been taken. Every answer is at most the true minimum. Not thread safe.
 */
final class HeadroomHistory {

    /** The time after which a reservation can give nothing back, in nanoseconds. */
    private static final long HORIZON_NANOS = 300_000_000_000L;

    /** The most samples; beyond, the oldest are merged. */
    private static final int MOST_SAMPLES = 2_048;

    /** Samples in order of time. */
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    /** The smallest headroom up to a moment. */
    private static final class Sample {

        /** The latest moment that the sample stands for. */
        private final long atNanos;

        /** The smallest headroom. */
        private double headroom;

        /**
         * Creates a sample.
         *
         * @param atNanos the moment
         * @param headroom the headroom
         */
        Sample(long atNanos, double headroom) {
            this.atNanos = atNanos;
            this.headroom = headroom;
        }
    }

    /**
     * Notes the headroom at a moment.
     *
     * @param nowNanos the moment
     * @param headroom tokens that the bucket lacks
     */
    void add(long nowNanos, double headroom) {
        while (!samples.isEmpty() && samples.peekLast().headroom >= headroom) {
            samples.pollLast();
        }
        samples.addLast(new Sample(nowNanos, headroom));
        if (samples.size() > MOST_SAMPLES) {
            Sample oldest = samples.pollFirst();
            samples.peekFirst().headroom = Math.min(oldest.headroom, samples.peekFirst().headroom);
        }
        while (nowNanos - samples.peekFirst().atNanos > HORIZON_NANOS) {
            samples.pollFirst();
        }
    }

    /**
     * Returns the smallest headroom after a moment.
     *
     * @param sinceNanos the moment
     * @param nowNanos the time now
     * @return tokens; zero if the moment is too long ago
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
     * Corrects the history for tokens that were given back.
     *
     * @param sinceNanos the moment of their reservation
     * @param tokens the tokens
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

    /** Forgets all samples, so that nothing reserved before now is worth anything. */
    void clear() {
        samples.clear();
    }
}
