package org.borageproxy.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;

import org.borageproxy.membership.LoadReport;

/**
 * The running batch of an engine and the requests that wait for a place in it. Places go to the highest priority first,
 * in order of arrival within a priority. Confined to one event loop.
 */
final class RunBatch {

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    private final EngineTiming timing;
    private final ToLongFunction<Run> prefillNanos;
    private final List<Run> running = new ArrayList<>();
    private final List<Run> waiting = new ArrayList<>();

    /**
     * Creates an empty batch.
     *
     * @param prefillNanos returns the prefill time of a request in nanoseconds; called once, on entry into the batch
     */
    RunBatch(EngineTiming timing, ToLongFunction<Run> prefillNanos) {
        this.timing = timing;
        this.prefillNanos = prefillNanos;
    }

    /** Returns whether both batch and queue are full, so that another request has to be refused. */
    boolean isFull() {
        return running.size() >= timing.batchLimit() && waiting.size() >= timing.queueLimit();
    }

    /** Returns whether no request runs or waits. */
    boolean isEmpty() {
        return running.isEmpty() && waiting.isEmpty();
    }

    /** Adds a request to the batch, or to the queue if the batch is full. */
    void add(Run run, long nowNanos) {
        waiting.add(run);
        admit(nowNanos);
    }

    /**
     * Removes cancelled requests, fills free places from the queue and returns the requests that generate a token.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the requests of the batch whose prefill has ended
     */
    List<Run> step(long nowNanos) {
        running.removeIf(run -> run.isCancelled);
        waiting.removeIf(run -> run.isCancelled);
        admit(nowNanos);
        return running.stream()
                .filter(run -> nowNanos - run.prefillEndNanos >= 0)
                .toList();
    }

    /** Removes a request of the batch that has ended. */
    void remove(Run run) {
        running.remove(run);
    }

    /** Finds a running or waiting request. */
    Optional<Run> findRequest(String requestIdentity) {
        return allRequests().stream()
                .filter(run -> run.requestIdentity.equals(requestIdentity))
                .findFirst();
    }

    /** Returns the running and the waiting requests. */
    List<Run> allRequests() {
        List<Run> runs = new ArrayList<>(running);
        runs.addAll(waiting);
        return runs;
    }

    LoadReport currentLoad() {
        return new LoadReport(
                running.size(),
                waiting.size(),
                timing.batchLimit(),
                MILLISECONDS_PER_SECOND / timing.tokenMillis(),
                timing.prefillTokensPerSecond());
    }

    private void admit(long nowNanos) {
        while (running.size() < timing.batchLimit() && !waiting.isEmpty()) {
            Run next = waiting.stream()
                    .max(Comparator.comparingInt((Run run) -> run.priority)
                            .thenComparing(waiting::indexOf, Comparator.reverseOrder()))
                    .orElseThrow();
            waiting.remove(next);
            next.prefillEndNanos = nowNanos + prefillNanos.applyAsLong(next);
            running.add(next);
        }
    }
}
