package org.borageproxy.admission;

import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * The waiting requests of one workspace for one pool, with the workspace's position in virtual time. Not thread safe.
 */
final class WorkspaceQueue {

    /** Waiting requests in the order of dispatch. */
    private final TreeSet<QueueEntry> entries = new TreeSet<>(QueueEntry.WITHIN_WORKSPACE);

    /** Virtual time at which the workspace's next request starts. */
    private double startTag;

    /** Total cost of the waiting requests, in tokens. */
    private long backlogTokens;

    /**
     * Adds a request.
     *
     * @param entry the request
     * @param earliestStartTag the lower bound of the start tag, applied only if the queue was empty
     */
    void add(QueueEntry entry, double earliestStartTag) {
        if (entries.isEmpty()) {
            startTag = Math.max(startTag, earliestStartTag);
        }
        entries.add(entry);
        backlogTokens += entry.request().tokens();
    }

    /** Removes the first request in the order of dispatch and advances the start tag by its cost, at least by one. */
    QueueEntry pollNext() {
        QueueEntry next = entries.pollFirst();
        backlogTokens -= next.request().tokens();
        startTag += Math.max(1, next.request().tokens());
        return next;
    }

    /**
     * Removes the requests whose deadline has passed.
     *
     * @param nowNanos the current time of the clock
     * @param expired receives the removed requests
     */
    void removeExpired(long nowNanos, List<QueueEntry> expired) {
        Iterator<QueueEntry> remaining = entries.iterator();
        while (remaining.hasNext()) {
            QueueEntry entry = remaining.next();
            if (entry.request().deadline().hasPassed(nowNanos)) {
                remaining.remove();
                backlogTokens -= entry.request().tokens();
                expired.add(entry);
            }
        }
    }

    /** Returns the total cost of the waiting requests that are dispatched before a new request, in tokens. */
    long tokensBefore(QueueEntry candidate) {
        QueueEntry last = entries.isEmpty() ? null : entries.last();
        if (last == null || QueueEntry.WITHIN_WORKSPACE.compare(last, candidate) < 0) {
            return backlogTokens;
        }
        return entries.headSet(candidate).stream()
                .mapToLong(entry -> entry.request().tokens())
                .sum();
    }

    /** Returns the total cost of the waiting requests, in tokens. */
    long backlogTokens() {
        return backlogTokens;
    }

    /** Returns the number of waiting requests. */
    int size() {
        return entries.size();
    }

    /** Returns the virtual time at which the workspace's next request starts. */
    double startTag() {
        return startTag;
    }
}
