package org.borageproxy.admission;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;

import org.borageproxy.admission.DispatchQueue.Decision;
import org.borageproxy.admission.DispatchQueue.QueuedRequest;

/**
 * A request in a queue. Immutable and thread safe, apart from the future, which is completed once and outside of any
 * lock.
 *
 * @param request the request
 * @param arrivalNumber a number that increases with each request
 * @param decision completed with the decision
 */
record QueueEntry(QueuedRequest request, long arrivalNumber, CompletableFuture<Decision> decision) {

    /** Order of dispatch within a workspace: highest priority, then earliest deadline, then earliest arrival. */
    static final Comparator<QueueEntry> WITHIN_WORKSPACE = Comparator.<QueueEntry>comparingInt(
                    entry -> -entry.request().priority())
            .thenComparing(entry -> entry.request().deadline())
            .thenComparingLong(QueueEntry::arrivalNumber);
}
