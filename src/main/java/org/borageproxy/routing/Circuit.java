package org.borageproxy.routing;

import java.time.Duration;

import org.borageproxy.time.Deadline;

/**
 * What recent requests showed of one backend server. After a number of failures in a row the circuit opens until a
 * deadline; the first request after it is a probe, and its outcome closes the circuit or opens it again. Immutable and
 * thread safe.
 *
 * @param consecutiveFailures failures since the last success
 * @param openUntil when a probe may be sent; meaningful only while open
 * @param probing whether a probe is under way
 * @param meanMillis the moving average of the time for a part of an answer, in milliseconds; zero before the first
 *     sample
 */
public record Circuit(int consecutiveFailures, Deadline openUntil, boolean probing, double meanMillis) {

    /** The circuit of a backend server without a past. */
    public static final Circuit CLOSED = new Circuit(0, new Deadline(0), false, 0.0);
    /** Failures in a row that open the circuit. */
    static final int FAILURES_TO_OPEN = 3;
    /** The first open time, which doubles with each further failure. */
    private static final Duration FIRST_OPEN = Duration.ofMillis(500);
    /** The largest number of doublings of the open time. */
    private static final int MAXIMUM_DOUBLINGS = 4;
    /** The weight of a new sample in the moving average. */
    private static final double SAMPLE_WEIGHT = 0.2;

    /**
     * Tells whether the circuit is open, probes included.
     *
     * @return {@code true} if ordinary requests go elsewhere
     */
    public boolean isOpen() {
        return consecutiveFailures >= FAILURES_TO_OPEN;
    }

    /**
     * Tells whether a probe may be sent.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if the circuit is open, its deadline has passed and no probe is under way
     */
    public boolean admitsProbe(long nowNanos) {
        return isOpen() && !probing && openUntil.hasPassed(nowNanos);
    }

    /**
     * Returns the circuit with a probe under way.
     *
     * @return the circuit
     */
    public Circuit probed() {
        return new Circuit(consecutiveFailures, openUntil, true, meanMillis);
    }

    /**
     * Returns the circuit after a success.
     *
     * @param millis the time for a part of the answer, in milliseconds
     * @return the circuit
     */
    public Circuit succeeded(double millis) {
        double mean = meanMillis == 0.0 ? millis : meanMillis + SAMPLE_WEIGHT * (millis - meanMillis);
        return new Circuit(0, openUntil, false, mean);
    }

    /**
     * Returns the circuit after a failure.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the circuit
     */
    public Circuit failed(long nowNanos) {
        int failures = consecutiveFailures + 1;
        int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, failures - FAILURES_TO_OPEN));
        Deadline until = Deadline.after(nowNanos, FIRST_OPEN.multipliedBy(1L << doublings));
        return new Circuit(failures, until, false, meanMillis);
    }

    /**
     * Returns the circuit after a probe that came to nothing, such as one that its caller cancelled.
     *
     * @return the circuit
     */
    public Circuit undecided() {
        return new Circuit(consecutiveFailures, openUntil, false, meanMillis);
    }
}
