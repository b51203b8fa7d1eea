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

/** The baseline of queues: first come, first served, without regard to workspaces. Not thread safe. */
final class FirstComeQueue implements DispatchQueue {

    /** The places of each pool. */
    private final ToIntFunction<String> capacity;

    /** The virtual time. */
    private final VirtualTime time;

    /** The waiting requests in order. */
    private final List<Waiting> waiting = new ArrayList<>();

    /** The places in use by pool. */
    private final Map<String, Integer> running = new HashMap<>();

    /**
     * A waiting request.
     *
     * @param request the request
     * @param decision completed with the decision
     */
    private record Waiting(QueuedRequest request, CompletableFuture<Decision> decision) {}

    /**
     * Creates an empty queue.
     *
     * @param capacity the places of each pool
     * @param time the virtual time
     */
    FirstComeQueue(ToIntFunction<String> capacity, VirtualTime time) {
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

    /** Dispatches the requests for which there are places, and refuses those whose deadline has passed. */
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
