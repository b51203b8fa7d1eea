package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.borageproxy.routing.EngineWork;
import org.borageproxy.time.Deadline;

/** Requests that wait for a server, ordered by rank, objective and arrival. Not thread safe. */
final class RequestQueue {

    private static final Comparator<QueuedRequest> BY_RANK_AND_OBJECTIVE =
            Comparator.comparingInt(QueuedRequest::rank).thenComparing(QueuedRequest::objectiveDeadline);

    private final List<QueuedRequest> queue = new ArrayList<>();

    /**
     * A request that waits for a server.
     *
     * @param rank the rank; the lowest goes first
     * @param objectiveDeadline the time after which the answer misses its objective
     * @param work the inference work; empty for a plain service
     * @param retry searches for a server again
     */
    record QueuedRequest(int rank, Deadline objectiveDeadline, Optional<EngineWork> work, Runnable retry) {}

    void add(QueuedRequest request) {
        int position = 0;
        while (position < queue.size() && BY_RANK_AND_OBJECTIVE.compare(queue.get(position), request) <= 0) {
            position++;
        }
        queue.add(position, request);
    }

    boolean remove(QueuedRequest request) {
        return queue.remove(request);
    }

    int size() {
        return queue.size();
    }

    /** Returns the prompt tokens of requests for the same model that do not rank behind the request. */
    long tokensAhead(QueuedRequest request) {
        return queue.stream()
                .filter(each ->
                        each.work().map(EngineWork::model).equals(request.work().map(EngineWork::model))
                                && BY_RANK_AND_OBJECTIVE.compare(each, request) <= 0)
                .mapToLong(each -> each.work().map(EngineWork::promptTokens).orElse(0))
                .sum();
    }

    /** Retries all requests in order; those that find a server remove themselves. */
    void retryAll() {
        if (!queue.isEmpty()) {
            List.copyOf(queue).forEach(request -> request.retry().run());
        }
    }
}
