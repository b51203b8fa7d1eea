package org.borageproxy.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.ToIntFunction;

import org.borageproxy.admission.DispatchQueue;
import org.borageproxy.result.ResultCode;

/**
 * The baseline of dispatch: first come, first served within each pool, without regard to workspaces or priorities.
 * Expired requests are shed when the queue is dispatched, not at their deadline. Not thread safe.
 */
final class FirstComeFirstServedQueue implements DispatchQueue {

    private final ToIntFunction<String> capacity;

    private final VirtualTime time;

    /** In order of arrival. */
    private final List<Waiting> waiting = new ArrayList<>();

    private final Map<String, Integer> running = new HashMap<>();

    /**
     * A waiting request.
     *
     * @param request the request
     * @param decision completed when the request is dispatched or shed
     */
    private record Waiting(QueuedRequest request, CompletableFuture<Decision> decision) {}

    /**
     * Creates an empty queue.
     *
     * @param capacity returns the number of places of a pool, occupied ones included
     */
    FirstComeFirstServedQueue(ToIntFunction<String> capacity, VirtualTime time) {
        this.capacity = capacity;
        this.time = time;
    }

    @Override
    public CompletionStage<Decision> enqueue(QueuedRequest request) {
        Waiting entry = new Waiting(request, new CompletableFuture<>());
        waiting.add(entry);
        dispatch();
        return entry.decision();
    }

    /** Dispatches requests to free places and sheds those whose deadline has passed. */
    void dispatch() {
        for (Waiting entry : List.copyOf(waiting)) {
            String pool = entry.request().pool();
            if (entry.request().deadline().hasPassed(time.nowNanos())) {
                waiting.remove(entry);
                entry.decision()
                        .complete(new Decision.Shed(
                                ResultCode.DEADLINE_PASSED, entry.request().deadline()));
            } else if (running.getOrDefault(pool, 0) < capacity.applyAsInt(pool)) {
                waiting.remove(entry);
                running.merge(pool, 1, Integer::sum);
                entry.decision().complete(new Decision.Dispatchable(() -> running.merge(pool, -1, Integer::sum)));
            }
        }
    }
}
