package org.borageproxy.admission;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;

import org.borageproxy.admission.DispatchQueue.Decision;
import org.borageproxy.admission.DispatchQueue.QueuedRequest;

/**
 * A request in a queue. Immutable but for its future, which is completed once, outside any lock; thread safe.
 *
 * @param request the request
 * @param arrivalNumber rises with each request that enters the pool
 * @param decision completed with the decision
 */
record QueueEntry(QueuedRequest request, long arrivalNumber, CompletableFuture<Decision> decision) {

    /** Larger priorities first, then earlier deadlines, then earlier arrivals. */
    static final Comparator<QueueEntry> WITHIN_WORKSPACE = Comparator.<QueueEntry>comparingInt(
                    entry -> -entry.request().priority())
            .thenComparing(entry -> entry.request().deadline())
            .thenComparingLong(QueueEntry::arrivalNumber);
}
