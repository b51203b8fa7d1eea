package org.borageproxy.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.borageproxy.admission.DispatchQueue.Decision;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/**
 * The decisions for one pool: start-time fair queueing over workspaces by cost in tokens; within a workspace, priority
 * and then deadline. A request that is predicted to miss its deadline is refused as it enters. Not thread safe.
 */
final class FairQueue {

    /** The weight of a new request in the average cost. */
    private static final double AVERAGE_WEIGHT = 0.05;

    /** The most requests of one workspace that wait. */
    private final int longestQueue;

    /** The queues by workspace; kept while a workspace waits or is ahead of the virtual time. */
    private final Map<String, WorkspaceQueue> queues = new HashMap<>();

    /** How fast the pool serves. */
    private final ServiceEstimate estimate = new ServiceEstimate();

    /** The start tag of the request that was dispatched last. */
    private double virtualTime;

    /** The average cost of a request in tokens. */
    private double averageTokens;

    /** When a request was dispatched last or requests began to wait. */
    private long movedAtNanos;

    /** The places in use. */
    private int runningCount;

    /** The waiting requests. */
    private int waitingCount;

    /**
     * Creates an empty queue.
     *
     * @param longestQueue the most requests of one workspace that wait
     */
    FairQueue(int longestQueue) {
        this.longestQueue = longestQueue;
    }

    /**
     * Lets a request in or refuses it.
     *
     * @param entry the request
     * @param slots the places of the pool now
     * @param nowNanos the time now
     * @return the refusal, or empty if it waits
     */
    Optional<Decision.Shed> enqueue(QueueEntry entry, int slots, long nowNanos) {
        if (entry.request().deadline().hasPassed(nowNanos)) {
            return Optional.of(new Decision.Shed(ResultCode.DEADLINE_PASSED, new Deadline(nowNanos)));
        }
        WorkspaceQueue own = queues.computeIfAbsent(entry.request().workspace(), name -> new WorkspaceQueue());
        long waitNanos = runningCount < slots && waitingCount == 0 ? 0 : predictedWaitNanos(entry, own, slots);
        long serviceNanos = estimate.predictServiceNanos(entry.request().tokens());
        long answeredAtNanos = nowNanos + (waitNanos == 0 ? 0 : waitNanos + serviceNanos);
        boolean late = entry.request().deadline().atNanos() - answeredAtNanos < 0;
        if (late || own.size() >= longestQueue) {
            long lateNanos =
                    Math.max(0, answeredAtNanos - entry.request().deadline().atNanos());
            long retryNanos = Math.max(lateNanos, serviceNanos);
            return Optional.of(new Decision.Shed(ResultCode.OVERLOADED, new Deadline(nowNanos + retryNanos)));
        }
        if (waitingCount == 0) {
            movedAtNanos = nowNanos;
        }
        own.add(entry, earliestTag(slots));
        averageTokens += AVERAGE_WEIGHT * (entry.request().tokens() - averageTokens);
        waitingCount++;
        return Optional.empty();
    }

    /**
     * Returns the earliest virtual time at which a workspace that did not wait may start. It lies before the virtual
     * time by one round of the pool's places, so that a short run of requests from a workspace that uses less than its
     * share is served at once even while another workspace always waits.
     *
     * @param slots the places of the pool now
     * @return the virtual time
     */
    private double earliestTag(int slots) {
        return virtualTime - slots * averageTokens;
    }

    /**
     * Predicts how long a request waits: until the workspace's earlier requests and the fair shares of the others ran.
     *
     * @param entry the request
     * @param own the queue of its workspace
     * @param slots the places of the pool now
     * @return nanoseconds
     */
    private long predictedWaitNanos(QueueEntry entry, WorkspaceQueue own, int slots) {
        long ownTokens = own.tokensBefore(entry);
        double ownStart = Math.max(own.startTag(), earliestTag(slots)) + ownTokens;
        double before = ownTokens;
        for (WorkspaceQueue other : queues.values()) {
            if (other != own && other.size() > 0) {
                before += Math.min(other.backlogTokens(), Math.max(0, ownStart - other.startTag()));
            }
        }
        return slots > 0 ? estimate.predictWaitNanos(before + entry.request().tokens()) : 0;
    }

    /**
     * Takes the requests for which places are free.
     *
     * @param slots the places of the pool now
     * @param nowNanos the time now
     * @return the requests to dispatch, in order
     */
    List<QueueEntry> dispatch(int slots, long nowNanos) {
        List<QueueEntry> dispatched = new ArrayList<>();
        if (slots <= 0) {
            movedAtNanos = nowNanos;
        }
        while (waitingCount > 0 && runningCount < slots) {
            dispatched.add(dispatchNext(nowNanos));
        }
        double forgotten = earliestTag(slots);
        queues.values().removeIf(queue -> queue.size() == 0 && queue.startTag() <= forgotten);
        return dispatched;
    }

    /**
     * Takes the next request and observes how fast the queue moves.
     *
     * @param nowNanos the time now
     * @return the request
     */
    private QueueEntry dispatchNext(long nowNanos) {
        WorkspaceQueue next = next();
        virtualTime = Math.max(virtualTime, next.startTag());
        QueueEntry entry = next.pollNext();
        boolean waited = waitingCount > 1 || nowNanos - movedAtNanos > 0;
        if (waited) {
            estimate.recordDispatched(entry.request().tokens(), nowNanos - movedAtNanos);
        }
        movedAtNanos = nowNanos;
        waitingCount--;
        runningCount++;
        return entry;
    }

    /**
     * Returns the waiting workspace that is least far in virtual time.
     *
     * @return its queue
     */
    private WorkspaceQueue next() {
        WorkspaceQueue next = null;
        for (WorkspaceQueue queue : queues.values()) {
            if (queue.size() > 0 && (next == null || queue.startTag() < next.startTag())) {
                next = queue;
            }
        }
        return next;
    }

    /**
     * Takes a place back.
     *
     * @param tokens the cost of the request that held it
     * @param heldNanos how long it was held
     */
    void release(long tokens, long heldNanos) {
        runningCount--;
        estimate.recordFinished(tokens, heldNanos);
    }

    /**
     * Removes the requests whose deadline has passed.
     *
     * @param nowNanos the time now
     * @return the removed requests
     */
    List<QueueEntry> removeExpired(long nowNanos) {
        List<QueueEntry> expired = new ArrayList<>();
        if (waitingCount > 0) {
            queues.values().forEach(queue -> queue.removeExpired(nowNanos, expired));
            waitingCount -= expired.size();
        }
        return expired;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    int waitingCount() {
        return waitingCount;
    }

    /**
     * Returns the number of places in use.
     *
     * @return the number
     */
    int runningCount() {
        return runningCount;
    }
}
