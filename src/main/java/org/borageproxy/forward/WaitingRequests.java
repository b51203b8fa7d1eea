package org.borageproxy.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.borageproxy.membership.BackendServerName;
import org.borageproxy.scheduling.AdmissionDecision;
import org.borageproxy.scheduling.AdmissionPolicy;
import org.borageproxy.scheduling.WaitingQueue;
import org.borageproxy.scheduling.WaitingRequest;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;

/**
 * The requests that wait for a server of a {@link ServerPool}. They are retried if a server that could run them has
 * changed, and all of them from time to time, since some changes are not noticed: the end of an avoidance or a newly
 * announced server. Not thread safe; confined to one event loop.
 */
final class WaitingRequests {

    /** Interval at which all lanes are retried. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);

    private final MonotonicClock clock;
    private final Function<Set<BackendServerName>, Predicate<WaitingRequest.Lane>> lanesOf;
    private final WaitingQueue queue = new WaitingQueue();
    private final AdmissionPolicy policy = new AdmissionPolicy();
    private final Set<BackendServerName> changedServers = new HashSet<>();
    private final Set<WaitingRequest.Lane> changedLanes = new HashSet<>();
    private Deadline nextSweepAt;
    private boolean isRetrying;

    /**
     * Creates an instance without requests.
     *
     * @param clock the clock
     * @param lanesOf returns which lanes any of some servers could serve if it took requests now
     */
    WaitingRequests(MonotonicClock clock, Function<Set<BackendServerName>, Predicate<WaitingRequest.Lane>> lanesOf) {
        this.clock = clock;
        this.lanesOf = lanesOf;
        this.nextSweepAt = new Deadline(clock.nanoTime());
    }

    int size() {
        return queue.size();
    }

    void add(WaitingRequest request) {
        queue.add(request);
        changedLanes.add(request.lane());
    }

    boolean remove(WaitingRequest request) {
        return queue.remove(request);
    }

    /** Returns the waiting request that must be tried before a request that is not queued. */
    Optional<WaitingRequest> firstBefore(WaitingRequest request) {
        return queue.firstBefore(request, clock.nanoTime());
    }

    /** Records that a request begins, queued or not. */
    void recordStart(WaitingRequest request) {
        long nowNanos = clock.nanoTime();
        policy.recordStart(request, queue.isContended(request.lane()), nowNanos);
        queue.recordStart(request.cost(), nowNanos);
    }

    /**
     * Returns when a request that is not queued is expected to begin.
     *
     * @param request the request
     * @param queues the number of queues as long as this one, from which the servers take requests as well
     * @param servers the number of nominal servers that work for its kind
     * @return the time
     */
    Deadline expectedStart(WaitingRequest request, int queues, double servers) {
        return policy.expectedStart(request, queue.workAheadMillis(request) * queues, servers, clock.nanoTime());
    }

    AdmissionDecision decide(WaitingRequest request, Deadline expectedStart) {
        return policy.decide(request, expectedStart, clock.nanoTime());
    }

    /** Returns when a caller whose request is refused is told to come back. */
    Deadline retryAt(WaitingRequest request, Deadline expectedStart) {
        return policy.retryAt(request, expectedStart, clock.nanoTime());
    }

    /** Records that a server may have room or another model. */
    void recordChange(BackendServerName server) {
        if (queue.size() > 0) {
            changedServers.add(server);
        }
    }

    /** Retries all requests. */
    void retryAll() {
        nextSweepAt = new Deadline(clock.nanoTime());
        retryChanged();
    }

    /** Retries the requests that a changed server could run. Has no effect within a retry. */
    void retryChanged() {
        if (isRetrying || queue.size() == 0) {
            return;
        }
        long nowNanos = clock.nanoTime();
        boolean isSweep = nextSweepAt.hasPassed(nowNanos);
        Set<BackendServerName> servers = Set.copyOf(changedServers);
        Set<WaitingRequest.Lane> lanes = Set.copyOf(changedLanes);
        changedServers.clear();
        changedLanes.clear();
        if (isSweep) {
            nextSweepAt = Deadline.after(nowNanos, SWEEP_INTERVAL);
        }
        isRetrying = true;
        try {
            Predicate<WaitingRequest.Lane> isServed = servers.isEmpty() ? lane -> false : lanesOf.apply(servers);
            queue.retry(lane -> isSweep || lanes.contains(lane) || isServed.test(lane), nowNanos);
        } finally {
            isRetrying = false;
        }
    }
}
