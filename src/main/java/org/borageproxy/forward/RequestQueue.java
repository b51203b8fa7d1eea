package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.borageproxy.routing.EngineWork;
import org.borageproxy.time.Deadline;

/** The requests that wait for a server, in the order in which they may go. Not thread safe. */
final class RequestQueue {

    private static final Comparator<QueuedRequest> BY_RANK =
            Comparator.comparingInt(QueuedRequest::rank).thenComparing(QueuedRequest::objective);

    private final List<QueuedRequest> waiting = new ArrayList<>();

    /**
     * A request that waits for a server.
     *
     * @param rank the rank, the lowest first
     * @param objective when its answer is late
     * @param work the work of an engine
     * @param retry looks for a server again
     */
    record QueuedRequest(int rank, Deadline objective, EngineWork work, Runnable retry) {}

    void add(QueuedRequest request) {
        int position = 0;
        while (position < waiting.size() && BY_RANK.compare(waiting.get(position), request) <= 0) {
            position++;
        }
        waiting.add(position, request);
    }

    boolean remove(QueuedRequest request) {
        return waiting.remove(request);
    }

    /** Returns the prompt tokens of requests for the same model that go first. */
    long tokensAhead(QueuedRequest request) {
        return waiting.stream()
                .filter(each ->
                        each.work().model().equals(request.work().model()) && BY_RANK.compare(each, request) <= 0)
                .mapToLong(each -> each.work().promptTokens())
                .sum();
    }

    /** Lets each request look for a server; those that find one remove themselves. */
    void retryAll() {
        if (!waiting.isEmpty()) {
            List.copyOf(waiting).forEach(request -> request.retry().run());
        }
    }
}
