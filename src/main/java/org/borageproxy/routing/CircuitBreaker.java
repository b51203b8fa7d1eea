package org.borageproxy.routing;

import java.time.Duration;

import org.borageproxy.time.Deadline;

/**
 * State of the circuit breaker of one backend server. The circuit opens after {@link #FAILURE_THRESHOLD} consecutive
 * failures and stays open until a deadline; the first request after the deadline is a probe, whose outcome closes the
 * circuit or opens it again for twice as long, up to a limit. Immutable and thread safe.
 *
 * @param consecutiveFailures number of failures since the last success
 * @param openUntil time from which a probe may be sent; meaningful only while the circuit is open
 * @param probeInFlight whether a probe is in flight
 * @param meanMillis exponential moving average of the response time per part of the answer, in milliseconds; zero
 *     before the first sample
 */
public record CircuitBreaker(int consecutiveFailures, Deadline openUntil, boolean probeInFlight, double meanMillis) {

    /** Initial state: closed, without samples. */
    public static final CircuitBreaker CLOSED = new CircuitBreaker(0, new Deadline(0), false, 0.0);
    /** Number of consecutive failures that opens the circuit. */
    static final int FAILURE_THRESHOLD = 3;
    /** Time for which the circuit opens first; doubled by each further failure. */
    private static final Duration INITIAL_OPEN_DURATION = Duration.ofMillis(500);

    private static final int MAX_DOUBLINGS = 4;
    private static final double SAMPLE_WEIGHT = 0.2;

    /**
     * Returns whether the circuit is open or half-open.
     *
     * @return {@code true} if only probes may be sent
     */
    public boolean isOpen() {
        return consecutiveFailures >= FAILURE_THRESHOLD;
    }

    /**
     * Returns whether a probe may be sent.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return {@code true} if the circuit is open, its deadline has passed and no probe is in flight
     */
    public boolean mayProbe(long nowNanos) {
        return isOpen() && !probeInFlight && openUntil.hasPassed(nowNanos);
    }

    /**
     * Returns the state after a probe has been sent.
     *
     * @return a copy with a probe in flight
     */
    public CircuitBreaker withProbe() {
        return new CircuitBreaker(consecutiveFailures, openUntil, true, meanMillis);
    }

    /**
     * Returns the state after a success.
     *
     * @param millis the response time per part of the answer, in milliseconds
     * @return a closed circuit whose moving average includes the sample
     */
    public CircuitBreaker afterSuccess(double millis) {
        double mean = meanMillis == 0.0 ? millis : meanMillis + SAMPLE_WEIGHT * (millis - meanMillis);
        return new CircuitBreaker(0, openUntil, false, mean);
    }

    /**
     * Returns the state after a failure.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return a copy with one more failure and a new deadline
     */
    public CircuitBreaker afterFailure(long nowNanos) {
        int failures = consecutiveFailures + 1;
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - FAILURE_THRESHOLD));
        Deadline until = Deadline.after(nowNanos, INITIAL_OPEN_DURATION.multipliedBy(1L << doublings));
        return new CircuitBreaker(failures, until, false, meanMillis);
    }

    /**
     * Returns the state after a probe without an outcome, such as one that its caller cancelled.
     *
     * @return a copy without a probe in flight
     */
    public CircuitBreaker afterInconclusiveProbe() {
        return new CircuitBreaker(consecutiveFailures, openUntil, false, meanMillis);
    }
}
