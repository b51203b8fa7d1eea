package org.borageproxy.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;

import org.borageproxy.membership.LoadReport;

/**
 * The running batch of an engine and the requests that wait for a place in it, the highest priority first. Confined to
 * one event loop.
 */
final class RunBatch {

    /** Milliseconds in a second. */
    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    /** How fast the engine works. */
    private final EngineTiming timing;
    /** Returns the time that a run's prompt takes, in nanoseconds. */
    private final ToLongFunction<Run> prefillNanos;
    /** The requests in the batch. */
    private final List<Run> running = new ArrayList<>();
    /** The requests that wait, in order of arrival. */
    private final List<Run> waiting = new ArrayList<>();

    /**
     * Creates an empty batch.
     *
     * @param timing how fast the engine works
     * @param prefillNanos returns the time that a run's prompt takes, in nanoseconds
     */
    RunBatch(EngineTiming timing, ToLongFunction<Run> prefillNanos) {
        this.timing = timing;
        this.prefillNanos = prefillNanos;
    }

    /**
     * Tells whether another request is refused.
     *
     * @return {@code true} if batch and queue are full
     */
    boolean isFull() {
        return running.size() >= timing.batchLimit() && waiting.size() >= timing.queueLimit();
    }

    /**
     * Tells whether nothing runs or waits.
     *
     * @return {@code true} if empty
     */
    boolean isEmpty() {
        return running.isEmpty() && waiting.isEmpty();
    }

    /**
     * Adds a request.
     *
     * @param run the request
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    void add(Run run, long nowNanos) {
        waiting.add(run);
        admit(nowNanos);
    }

    /**
     * Removes the cancelled requests, gives their places to waiting ones and returns the requests that are due for a
     * token.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the requests whose prompt is processed
     */
    List<Run> step(long nowNanos) {
        running.removeIf(run -> run.cancelled);
        waiting.removeIf(run -> run.cancelled);
        admit(nowNanos);
        return running.stream()
                .filter(run -> nowNanos - run.prefilledAtNanos >= 0)
                .toList();
    }

    /**
     * Removes a request that has ended.
     *
     * @param run the request
     */
    void remove(Run run) {
        running.remove(run);
    }

    /**
     * Finds a request.
     *
     * @param requestIdentity the request's identity
     * @return the request if it runs or waits
     */
    Optional<Run> find(String requestIdentity) {
        return all().stream()
                .filter(run -> run.requestIdentity.equals(requestIdentity))
                .findFirst();
    }

    /**
     * Returns all requests.
     *
     * @return the running and the waiting requests
     */
    List<Run> all() {
        List<Run> runs = new ArrayList<>(running);
        runs.addAll(waiting);
        return runs;
    }

    /**
     * Returns the load as it is now.
     *
     * @return the load
     */
    LoadReport load() {
        return new LoadReport(
                running.size(),
                waiting.size(),
                timing.batchLimit(),
                MILLISECONDS_PER_SECOND / timing.tokenMillis(),
                timing.prefillTokensPerSecond());
    }

    /**
     * Fills free places of the batch.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    private void admit(long nowNanos) {
        while (running.size() < timing.batchLimit() && !waiting.isEmpty()) {
            Run next = waiting.stream()
                    .max(Comparator.comparingInt((Run run) -> run.priority)
                            .thenComparing(waiting::indexOf, Comparator.reverseOrder()))
                    .orElseThrow();
            waiting.remove(next);
            next.prefilledAtNanos = nowNanos + prefillNanos.applyAsLong(next);
            running.add(next);
        }
    }
}
