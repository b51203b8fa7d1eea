package org.borageproxy.admission;

import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/** The waiting requests of one workspace before one pool, and its place in virtual time. Not thread safe. */
final class WorkspaceQueue {

    /** The waiting requests, best first. */
    private final TreeSet<QueueEntry> entries = new TreeSet<>(QueueEntry.WITHIN_WORKSPACE);

    /** The virtual time at which the workspace's next request starts. */
    private double startTag;

    /** The cost of the waiting requests in tokens. */
    private long backlogTokens;

    /**
     * Adds a request.
     *
     * @param entry the request
     * @param earliestTag the earliest virtual time at which a workspace that did not wait may start
     */
    void add(QueueEntry entry, double earliestTag) {
        if (entries.isEmpty()) {
            startTag = Math.max(startTag, earliestTag);
        }
        entries.add(entry);
        backlogTokens += entry.request().tokens();
    }

    /**
     * Takes the best request and charges its cost.
     *
     * @return the request
     */
    QueueEntry pollNext() {
        QueueEntry taken = entries.pollFirst();
        backlogTokens -= taken.request().tokens();
        startTag += Math.max(1, taken.request().tokens());
        return taken;
    }

    /**
     * Removes the requests whose deadline has passed.
     *
     * @param nowNanos the time now
     * @param expired takes the removed requests
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

    /**
     * Returns the cost of the requests that go before a new one of the same workspace.
     *
     * @param candidate the new request
     * @return tokens
     */
    long tokensBefore(QueueEntry candidate) {
        QueueEntry last = entries.isEmpty() ? null : entries.last();
        if (last == null || QueueEntry.WITHIN_WORKSPACE.compare(last, candidate) < 0) {
            return backlogTokens;
        }
        return entries.headSet(candidate).stream()
                .mapToLong(entry -> entry.request().tokens())
                .sum();
    }

    /**
     * Returns the cost of the waiting requests.
     *
     * @return tokens
     */
    long backlogTokens() {
        return backlogTokens;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    int size() {
        return entries.size();
    }

    /**
     * Returns the workspace's place in virtual time.
     *
     * @return the virtual time at which its next request starts
     */
    double startTag() {
        return startTag;
    }
}
