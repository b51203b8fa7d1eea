package org.borageproxy.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Requests that wait for a server, ordered by the cost of delaying them and, between workspaces of equal rank, by the
 * work that was begun for each recently. An arrival or departure costs time logarithmic in the number of requests; a
 * pass tries a bounded number of requests of each lane in vain. Not thread safe; a request's retry may add and remove
 * requests.
 */
public final class WaitingQueue {

    /**
     * Requests of a lane that are tried in vain in one pass; the next one may be smaller or have tried less servers.
     */
    private static final int MAX_FAILURES_PER_LANE = 3;

    private final Map<WaitingRequest.Lane, WaitingLane> lanes = new HashMap<>();
    private final Map<Target, WaitingWork> work = new HashMap<>();
    private final RecentService served = new RecentService();
    private long lastSequence;
    private long lastPass;
    private int size;

    private record Target(String service, String model) {
        static Target of(WaitingRequest.Lane lane) {
            return new Target(lane.service(), lane.model());
        }
    }

    private static final class Cursor implements Comparable<Cursor> {
        private final WaitingLane lane;
        private WaitingLane.Head head;
        private int failures;

        private Cursor(WaitingLane lane, WaitingLane.Head head) {
            this.lane = lane;
            this.head = head;
        }

        @Override
        public int compareTo(Cursor other) {
            return head.compareTo(other.head);
        }
    }

    /**
     * Adds a request.
     *
     * @param request the request, not queued yet
     */
    public void add(WaitingRequest request) {
        lastSequence++;
        request.setSequence(lastSequence);
        lanes.computeIfAbsent(request.lane(), lane -> new WaitingLane(served)).add(request);
        work.computeIfAbsent(Target.of(request.lane()), target -> new WaitingWork())
                .add(request.cost());
        size++;
    }

    /**
     * Removes a request.
     *
     * @param request the request
     * @return {@code false} if it is not queued
     */
    public boolean remove(WaitingRequest request) {
        WaitingLane lane = lanes.get(request.lane());
        if (lane == null || !lane.remove(request)) {
            return false;
        }
        if (lane.isEmpty()) {
            lanes.remove(request.lane());
        }
        Target target = Target.of(request.lane());
        WaitingWork waiting = work.get(target);
        waiting.remove(request.cost());
        if (waiting.isEmpty()) {
            work.remove(target);
        }
        size--;
        return true;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number
     */
    public int size() {
        return size;
    }

    /**
     * Records that a request begins, queued or not, which its workspace is charged with.
     *
     * @param cost the cost of the request
     * @param nowNanos the current reading of the clock in nanoseconds
     */
    public void recordStart(RequestCost cost, long nowNanos) {
        served.record(cost, nowNanos);
    }

    /**
     * Returns the queued request of the same lane that a new request must not pass. That is one of a class that goes
     * before its own; those of its own class were offered the present room in vain, since they need more of it or have
     * tried the servers.
     *
     * @param request the request, not queued yet
     * @param nowNanos the current reading of the clock in nanoseconds
     * @return empty if the request may begin now
     */
    public Optional<WaitingRequest> firstBefore(WaitingRequest request, long nowNanos) {
        return Optional.ofNullable(lanes.get(request.lane()))
                .flatMap(lane -> lane.first(lastPass + 1, nowNanos))
                .map(WaitingLane.Head::request)
                .filter(first -> first.cost().order() < request.cost().order());
    }

    /**
     * Returns the work for the same model or plain service that begins before a request.
     *
     * @param request the request, not queued yet
     * @return the work in milliseconds of one server
     */
    public double workAheadMillis(WaitingRequest request) {
        WaitingWork waiting = work.get(Target.of(request.lane()));
        return waiting == null ? 0 : waiting.ahead(request.cost());
    }

    /**
     * Returns whether a request waits for the same model or plain service.
     *
     * @param lane the lane
     * @return {@code true} if any does, whatever its cost
     */
    public boolean isContended(WaitingRequest.Lane lane) {
        return work.containsKey(Target.of(lane));
    }

    /**
     * Retries queued requests, the one whose delay costs most first.
     *
     * @param isEligible whether a server of a lane may have become available
     * @param nowNanos the current reading of the clock in nanoseconds
     */
    public void retry(Predicate<WaitingRequest.Lane> isEligible, long nowNanos) {
        if (size == 0) {
            return;
        }
        lastPass++;
        long pass = lastPass;
        PriorityQueue<Cursor> cursors = new PriorityQueue<>();
        for (Map.Entry<WaitingRequest.Lane, WaitingLane> entry : List.copyOf(lanes.entrySet())) {
            if (isEligible.test(entry.getKey())) {
                entry.getValue()
                        .first(pass, nowNanos)
                        .ifPresent(head -> cursors.add(new Cursor(entry.getValue(), head)));
            }
        }
        while (!cursors.isEmpty()) {
            Cursor cursor = cursors.poll();
            WaitingRequest request = cursor.head.request();
            int before = size;
            request.retry(pass);
            cursor.failures += size < before ? 0 : 1;
            if (cursor.failures < MAX_FAILURES_PER_LANE) {
                cursor.lane.first(pass, nowNanos).ifPresent(head -> {
                    cursor.head = head;
                    cursors.add(cursor);
                });
            }
        }
    }
}
