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
 * The queue of one pool: start-time fair queueing among workspaces, with the cost in tokens; within a workspace, by
 * priority and then by deadline. Refuses on arrival a request that is predicted to miss its deadline. Not thread safe.
 */
final class FairQueue {

    /** Weight of a new request in the average cost. */
    private static final double COST_SMOOTHING_WEIGHT = 0.05;

    private final int maxQueueLength;

    /**
     * Queues by workspace. An empty queue is kept while its start tag is above that of a new queue, so that a workspace
     * that has used more than its share does not start anew when its queue becomes empty.
     */
    private final Map<String, WorkspaceQueue> queues = new HashMap<>();

    private final ServiceEstimate estimate = new ServiceEstimate();

    /** Largest start tag of a dispatched request. */
    private double virtualTime;

    /** Exponential moving average of the requests' cost, in tokens. */
    private double averageTokens;

    /**
     * Time of the last dispatch, or of the arrival at an empty queue if that is later; restarted while there are no
     * slots.
     */
    private long lastProgressAtNanos;

    /** Number of slots in use. */
    private int runningCount;

    private int waitingCount;

    /**
     * Creates an empty queue.
     *
     * @param maxQueueLength the maximum number of waiting requests of one workspace
     */
    FairQueue(int maxQueueLength) {
        this.maxQueueLength = maxQueueLength;
    }

    /**
     * Queues a request, or refuses it if its deadline has passed, if it is predicted to miss its deadline, or if its
     * workspace's queue is full. A request that need not wait is never predicted to miss its deadline.
     *
     * @param entry the request
     * @param slots the current number of slots of the pool
     * @param nowNanos the current time of the clock
     * @return the refusal, or empty if the request waits
     */
    Optional<Decision.Shed> enqueue(QueueEntry entry, int slots, long nowNanos) {
        if (entry.request().deadline().hasPassed(nowNanos)) {
            return Optional.of(new Decision.Shed(ResultCode.DEADLINE_PASSED, new Deadline(nowNanos)));
        }
        WorkspaceQueue ownQueue = queues.computeIfAbsent(entry.request().workspace(), name -> new WorkspaceQueue());
        long waitNanos = runningCount < slots && waitingCount == 0 ? 0 : predictedWaitNanos(entry, ownQueue, slots);
        long serviceNanos = estimate.predictServiceNanos(entry.request().tokens());
        long answeredAtNanos = nowNanos + (waitNanos == 0 ? 0 : waitNanos + serviceNanos);
        boolean isLate = entry.request().deadline().atNanos() - answeredAtNanos < 0;
        if (isLate || ownQueue.size() >= maxQueueLength) {
            long lateNanos =
                    Math.max(0, answeredAtNanos - entry.request().deadline().atNanos());
            long retryNanos = Math.max(lateNanos, serviceNanos);
            return Optional.of(new Decision.Shed(ResultCode.OVERLOADED, new Deadline(nowNanos + retryNanos)));
        }
        if (waitingCount == 0) {
            lastProgressAtNanos = nowNanos;
        }
        ownQueue.add(entry, earliestStartTag(slots));
        averageTokens += COST_SMOOTHING_WEIGHT * (entry.request().tokens() - averageTokens);
        waitingCount++;
        return Optional.empty();
    }

    /**
     * Returns the lower bound of the start tag of a workspace whose queue was empty. It lies one round of slots, at the
     * average cost, before the virtual time, so that a short burst of a workspace that uses less than its share is
     * dispatched at once even while another workspace always has a backlog.
     */
    private double earliestStartTag(int slots) {
        return virtualTime - slots * averageTokens;
    }

    /**
     * Predicts the wait of a new request: the time to dispatch the earlier requests of its workspace, the part of the
     * other workspaces' backlogs that fair queueing places before it, and the request itself. Zero while there are no
     * slots.
     */
    private long predictedWaitNanos(QueueEntry entry, WorkspaceQueue ownQueue, int slots) {
        long ownTokens = ownQueue.tokensBefore(entry);
        double ownStart = Math.max(ownQueue.startTag(), earliestStartTag(slots)) + ownTokens;
        double tokensAhead = ownTokens;
        for (WorkspaceQueue other : queues.values()) {
            if (other != ownQueue && other.size() > 0) {
                tokensAhead += Math.min(other.backlogTokens(), Math.max(0, ownStart - other.startTag()));
            }
        }
        return slots > 0
                ? estimate.predictWaitNanos(tokensAhead + entry.request().tokens())
                : 0;
    }

    /**
     * Removes the requests for which slots are free.
     *
     * @param slots the current number of slots of the pool
     * @param nowNanos the current time of the clock
     * @return the requests to dispatch, in order
     */
    List<QueueEntry> dispatch(int slots, long nowNanos) {
        List<QueueEntry> dispatched = new ArrayList<>();
        if (slots <= 0) {
            lastProgressAtNanos = nowNanos;
        }
        while (waitingCount > 0 && runningCount < slots) {
            dispatched.add(dispatchNext(nowNanos));
        }
        double minStartTag = earliestStartTag(slots);
        queues.values().removeIf(queue -> queue.size() == 0 && queue.startTag() <= minStartTag);
        return dispatched;
    }

    /**
     * Removes the next request. Records the time since the previous dispatch only if the queue was not empty in
     * between.
     */
    private QueueEntry dispatchNext(long nowNanos) {
        WorkspaceQueue next = nextQueue();
        virtualTime = Math.max(virtualTime, next.startTag());
        QueueEntry entry = next.pollNext();
        boolean hasWaited = waitingCount > 1 || nowNanos - lastProgressAtNanos > 0;
        if (hasWaited) {
            estimate.recordDispatched(entry.request().tokens(), nowNanos - lastProgressAtNanos);
        }
        lastProgressAtNanos = nowNanos;
        waitingCount--;
        runningCount++;
        return entry;
    }

    /** Returns the non-empty queue with the smallest start tag. */
    private WorkspaceQueue nextQueue() {
        WorkspaceQueue next = null;
        for (WorkspaceQueue queue : queues.values()) {
            if (queue.size() > 0 && (next == null || queue.startTag() < next.startTag())) {
                next = queue;
            }
        }
        return next;
    }

    /**
     * Frees a slot.
     *
     * @param tokens the cost of the request that occupied it
     * @param occupiedNanos the time for which it was occupied
     */
    void release(long tokens, long occupiedNanos) {
        runningCount--;
        estimate.recordFinished(tokens, occupiedNanos);
    }

    /** Removes the waiting requests whose deadline has passed. */
    List<QueueEntry> removeExpired(long nowNanos) {
        List<QueueEntry> expired = new ArrayList<>();
        if (waitingCount > 0) {
            queues.values().forEach(queue -> queue.removeExpired(nowNanos, expired));
            waitingCount -= expired.size();
        }
        return expired;
    }

    /** Returns the number of waiting requests. */
    int waitingCount() {
        return waitingCount;
    }

    /** Returns the number of slots in use. */
    int runningCount() {
        return runningCount;
    }
}
