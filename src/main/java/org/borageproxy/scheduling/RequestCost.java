package org.borageproxy.scheduling;

import java.time.Duration;
import java.util.Optional;

import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.time.Deadline;

/**
 * What it costs callers to delay or refuse a request that has not begun. Costs are compared by rank, then by whether
 * the request came back after a refusal, then by whether it can still meet its objective, then by objective and work.
 * Immutable and thread safe.
 *
 * @param rank the rank; the lowest is the most urgent
 * @param isReturning whether the request comes back after a refusal, at the time that it was told
 * @param workspace the workspace of the caller; an empty string without one
 * @param workMillis the time for which the request occupies its server, in milliseconds
 * @param objectiveStart the time after which a request that begins misses its objective
 * @param latestStart the time after which a request that begins does not end before its deadline
 */
public record RequestCost(
        int rank,
        boolean isReturning,
        String workspace,
        double workMillis,
        Deadline objectiveStart,
        Deadline latestStart) {

    /** Nominal work of a request to a plain service. */
    private static final double SERVICE_MILLISECONDS = 60.0;
    /** Nominal time per output token of a stream in a well filled batch. */
    private static final double OUTPUT_TOKEN_MILLISECONDS = 12.0;
    /** Nominal time by which one output token delays the other streams of the engine. */
    private static final double OUTPUT_WORK_MILLISECONDS = 0.04;
    /** Backlog of an engine that admits requests, on average. */
    private static final double ENGINE_BACKLOG_MILLISECONDS = 150.0;
    /** Greatest share of the time from arrival to objective that is left to the first event. */
    private static final double MAX_FIRST_EVENT_SHARE = 0.4;
    /** Greatest share of the time from arrival to deadline that is left to run; stated output is an upper bound. */
    private static final double MAX_RUN_SHARE = 0.5;
    /** Multiple of a request's work by which it goes behind shorter requests whose objective ends as soon. */
    private static final double WORK_WEIGHT = 2.0;

    private static final double NANOS_PER_MILLISECOND = 1e6;

    /**
     * The times of a request.
     *
     * @param nowNanos the current reading of the clock in nanoseconds
     * @param waited the time since its arrival
     * @param objective the remaining time to its objective
     * @param deadline the remaining time to its deadline
     */
    public record Times(long nowNanos, Duration waited, Duration objective, Duration deadline) {}

    /**
     * Computes the cost of a request.
     *
     * @param rank the rank; the lowest is the most urgent
     * @param isReturning whether the request comes back after a refusal
     * @param workspace the workspace of the caller; an empty string without one
     * @param work the inference work; empty for a plain service
     * @param times the times of the request
     * @return the cost
     */
    public static RequestCost of(
            int rank, boolean isReturning, String workspace, Optional<EngineWork> work, Times times) {
        double prefillMillis = work.map(each -> each.promptTokens() / ServerSelector.PREFILL_TOKENS_PER_MILLISECOND)
                .orElse(0.0);
        double outputTokens = work.map(EngineWork::outputTokens).orElse(0);
        double workMillis =
                work.isPresent() ? prefillMillis + outputTokens * OUTPUT_WORK_MILLISECONDS : SERVICE_MILLISECONDS;
        double firstEventMillis = work.isPresent() ? prefillMillis + ENGINE_BACKLOG_MILLISECONDS : SERVICE_MILLISECONDS;
        double runMillis =
                work.isPresent() ? firstEventMillis + outputTokens * OUTPUT_TOKEN_MILLISECONDS : SERVICE_MILLISECONDS;
        return new RequestCost(
                rank,
                isReturning,
                workspace,
                workMillis,
                startBefore(times, times.objective(), firstEventMillis, MAX_FIRST_EVENT_SHARE),
                startBefore(times, times.deadline(), runMillis, MAX_RUN_SHARE));
    }

    private static Deadline startBefore(Times times, Duration remaining, double neededMillis, double maximumShare) {
        double totalMillis = remaining.plus(times.waited()).toNanos() / NANOS_PER_MILLISECOND;
        double leftMillis = Math.min(neededMillis, totalMillis * maximumShare);
        return Deadline.after(times.nowNanos(), remaining.minusNanos((long) (leftMillis * NANOS_PER_MILLISECOND)));
    }

    /** Returns the class of requests within which workspaces are treated alike; the lowest goes first. */
    int order() {
        return 2 * rank + (isReturning ? 0 : 1);
    }

    /**
     * Returns whether a request that begins now misses its objective.
     *
     * @param nowNanos the current reading of the clock in nanoseconds
     * @return {@code true} once the time has passed
     */
    boolean isLate(long nowNanos) {
        return objectiveStart.hasPassed(nowNanos);
    }

    /**
     * Returns why a request goes before one of another class.
     *
     * @param other the request that is put back
     * @return the difference that decides: rank or returning
     */
    public String reasonBefore(RequestCost other) {
        return rank == other.rank ? "returning" : "rank";
    }

    /** Returns the time by which requests of one class and workspace are ordered. */
    Deadline orderedBy(boolean isLate) {
        return isLate
                ? latestStart
                : new Deadline(objectiveStart.atNanos() + (long) (workMillis * WORK_WEIGHT * NANOS_PER_MILLISECOND));
    }
}
