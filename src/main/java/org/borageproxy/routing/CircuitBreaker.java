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
 * @param probeInFlight whether a probe is under way
 * @param meanMillis the moving average of the time for a part of an answer, in milliseconds; zero before the first
 *     sample
 */
public record CircuitBreaker(int consecutiveFailures, Deadline openUntil, boolean probeInFlight, double meanMillis) {

    /** The circuit of a backend server without a past. */
    public static final CircuitBreaker CLOSED = new CircuitBreaker(0, new Deadline(0), false, 0.0);
    /** Failures in a row that open the circuit. */
    static final int FAILURE_THRESHOLD = 3;
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
        return consecutiveFailures >= FAILURE_THRESHOLD;
    }

    /**
     * Tells whether a probe may be sent.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if the circuit is open, its deadline has passed and no probe is under way
     */
    public boolean mayProbe(long nowNanos) {
        return isOpen() && !probeInFlight && openUntil.hasPassed(nowNanos);
    }

    /**
     * Returns the circuit with a probe under way.
     *
     * @return the circuit
     */
    public CircuitBreaker withProbe() {
        return new CircuitBreaker(consecutiveFailures, openUntil, true, meanMillis);
    }

    /**
     * Returns the circuit after a success.
     *
     * @param millis the time for a part of the answer, in milliseconds
     * @return the circuit
     */
    public CircuitBreaker afterSuccess(double millis) {
        double mean = meanMillis == 0.0 ? millis : meanMillis + SAMPLE_WEIGHT * (millis - meanMillis);
        return new CircuitBreaker(0, openUntil, false, mean);
    }

    /**
     * Returns the circuit after a failure.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the circuit
     */
    public CircuitBreaker afterFailure(long nowNanos) {
        int failures = consecutiveFailures + 1;
        int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, failures - FAILURE_THRESHOLD));
        Deadline until = Deadline.after(nowNanos, FIRST_OPEN.multipliedBy(1L << doublings));
        return new CircuitBreaker(failures, until, false, meanMillis);
    }

    /**
     * Returns the circuit after a probe that came to nothing, such as one that its caller cancelled.
     *
     * @return the circuit
     */
    public CircuitBreaker afterInconclusiveProbe() {
        return new CircuitBreaker(consecutiveFailures, openUntil, false, meanMillis);
    }
}
