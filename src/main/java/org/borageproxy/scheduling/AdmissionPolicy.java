package org.borageproxy.scheduling;

import java.time.Duration;

import org.borageproxy.time.Deadline;

/**
 * Decides whether a request that finds no server at once waits for capacity or is refused. It waits if it is expected
 * to begin early enough to end before its deadline; being late costs a caller less than being refused, and requests
 * that can still meet their objective go before late ones. Not thread safe.
 */
public final class AdmissionPolicy {

    private static final double NANOS_PER_MILLISECOND = 1e6;
    /** Longest predicted wait that is told to a caller; load is not predictable for longer. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

    private final DrainRates drainRates = new DrainRates();
    private final RetryTimes retryTimes = new RetryTimes();

    /**
     * Records that a request begins.
     *
     * @param request the request
     * @param isContended whether requests for the same model or plain service wait
     * @param nowNanos the current reading of the clock in nanoseconds
     */
    public void recordStart(WaitingRequest request, boolean isContended, long nowNanos) {
        drainRates.recordStart(request, isContended, nowNanos);
    }

    /**
     * Returns when a request is expected to begin.
     *
     * @param request the request
     * @param aheadMillis the work that begins before it, in milliseconds of one server
     * @param servers the number of nominal servers that work for its kind
     * @param nowNanos the current reading of the clock in nanoseconds
     * @return the time
     */
    public Deadline expectedStart(WaitingRequest request, double aheadMillis, double servers, long nowNanos) {
        double rate = drainRates.millisPerMillisecond(request, servers, nowNanos);
        double waitMillis = Math.min(MAX_RETRY_AFTER.toMillis(), aheadMillis / rate);
        return Deadline.after(nowNanos, Duration.ofNanos((long) (waitMillis * NANOS_PER_MILLISECOND)));
    }

    /**
     * Decides about a request that found no server at once.
     *
     * @param request the request
     * @param expectedStart the time at which it is expected to begin
     * @param nowNanos the current reading of the clock in nanoseconds
     * @return the decision
     */
    public AdmissionDecision decide(WaitingRequest request, Deadline expectedStart, long nowNanos) {
        Deadline latestStart = request.cost().latestStart();
        boolean isTooLate = latestStart.hasPassed(nowNanos) || latestStart.compareTo(expectedStart) < 0;
        return isTooLate
                ? AdmissionDecision.refuse(retryAt(request, expectedStart, nowNanos))
                : AdmissionDecision.wait(latestStart, expectedStart);
    }

    /**
     * Returns the time at which a refused request is expected to be admitted. Each refusal moves the time of the next
     * one for the same kind, so that callers do not return all at once.
     *
     * @param request the refused request
     * @param expectedStart the time at which its kind is expected to begin
     * @param nowNanos the current reading of the clock in nanoseconds
     * @return the time
     */
    public Deadline retryAt(WaitingRequest request, Deadline expectedStart, long nowNanos) {
        Deadline latest = Deadline.after(nowNanos, MAX_RETRY_AFTER);
        double rate = drainRates.lastRate(request);
        return retryTimes.next(request, expectedStart, rate, nowNanos).earlierOf(latest);
    }
}
