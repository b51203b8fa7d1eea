package org.borageproxy.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import org.borageproxy.time.Deadline;

/**
 * The waiting requests of one lane, by class and workspace. A request that can still meet its objective goes before one
 * that cannot, so that a long queue does not make all of them late. Not thread safe.
 */
final class WaitingLane {

    private final TreeMap<Integer, Map<String, WorkspaceRequests>> classes = new TreeMap<>();
    private final RecentService served;

    /**
     * The first request of a lane, with the state by which it was chosen.
     *
     * @param request the request
     * @param isLate whether it misses its objective
     * @param servedMillis the work that was begun recently for its workspace
     */
    record Head(WaitingRequest request, boolean isLate, double servedMillis) implements Comparable<Head> {
        private static final Comparator<Head> ORDER = Comparator.<Head>comparingInt(
                        head -> head.request().cost().order())
                .thenComparing(Head::isLate)
                .thenComparingDouble(Head::servedMillis)
                .thenComparing(head -> head.request().cost().orderedBy(head.isLate()))
                .thenComparingLong(head -> head.request().sequence());

        @Override
        public int compareTo(Head other) {
            return ORDER.compare(this, other);
        }
    }

    private static final class WorkspaceRequests {
        private final TreeSet<WaitingRequest> onTime = ordered(false);
        private final TreeSet<WaitingRequest> late = ordered(true);

        private static TreeSet<WaitingRequest> ordered(boolean isLate) {
            return new TreeSet<>(Comparator.<WaitingRequest, Deadline>comparing(
                            request -> request.cost().orderedBy(isLate))
                    .thenComparingLong(WaitingRequest::sequence));
        }

        private void moveLate(long nowNanos) {
            while (!onTime.isEmpty() && onTime.first().cost().isLate(nowNanos)) {
                late.add(onTime.pollFirst());
            }
        }

        private boolean isEmpty() {
            return onTime.isEmpty() && late.isEmpty();
        }
    }

    WaitingLane(RecentService served) {
        this.served = served;
    }

    void add(WaitingRequest request) {
        classes.computeIfAbsent(request.cost().order(), order -> new HashMap<>())
                .computeIfAbsent(request.cost().workspace(), name -> new WorkspaceRequests())
                .onTime
                .add(request);
    }

    boolean remove(WaitingRequest request) {
        Map<String, WorkspaceRequests> workspaces = classes.get(request.cost().order());
        WorkspaceRequests requests =
                workspaces == null ? null : workspaces.get(request.cost().workspace());
        if (requests == null || !(requests.onTime.remove(request) || requests.late.remove(request))) {
            return false;
        }
        if (requests.isEmpty()) {
            workspaces.remove(request.cost().workspace());
            if (workspaces.isEmpty()) {
                classes.remove(request.cost().order());
            }
        }
        return true;
    }

    boolean isEmpty() {
        return classes.isEmpty();
    }

    /** Returns the request that goes first of those that were not tried in a pass. */
    Optional<Head> first(long pass, long nowNanos) {
        for (Map<String, WorkspaceRequests> workspaces : classes.values()) {
            Head best = null;
            for (WorkspaceRequests requests : workspaces.values()) {
                requests.moveLate(nowNanos);
                Head head = head(requests, pass, nowNanos);
                best = head == null || best != null && best.compareTo(head) <= 0 ? best : head;
            }
            if (best != null) {
                return Optional.of(best);
            }
        }
        return Optional.empty();
    }

    private Head head(WorkspaceRequests requests, long pass, long nowNanos) {
        WaitingRequest onTime = firstUntried(requests.onTime, pass);
        WaitingRequest request = onTime == null ? firstUntried(requests.late, pass) : onTime;
        return request == null ? null : head(request, onTime == null, nowNanos);
    }

    /** Returns a request of any lane as it would be compared at the head of its own. */
    Head head(WaitingRequest request, boolean isLate, long nowNanos) {
        RequestCost cost = request.cost();
        return new Head(request, isLate, served.millis(cost.rank(), cost.workspace(), nowNanos));
    }

    private static WaitingRequest firstUntried(TreeSet<WaitingRequest> requests, long pass) {
        Iterator<WaitingRequest> iterator = requests.iterator();
        while (iterator.hasNext()) {
            WaitingRequest request = iterator.next();
            if (!request.wasTriedIn(pass)) {
                return request;
            }
        }
        return null;
    }
}
