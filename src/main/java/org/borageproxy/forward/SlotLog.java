package org.borageproxy.forward;

import java.util.Optional;

import org.borageproxy.scheduling.RequestCost;
import org.borageproxy.scheduling.WaitingRequest;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the log lines of the broker's decisions, and counts them. Not thread safe, except for the counts. */
final class SlotLog {

    private static final Logger LOGGER = LoggerFactory.getLogger("scheduling");

    private final MonotonicClock clock;
    private volatile long putBackCount;
    private volatile long refusedCount;

    SlotLog(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Logs that a request begins to wait for capacity.
     *
     * @param request the request
     * @param before the waiting request that goes first; empty if the servers have no room
     * @param expectedStart when the request is expected to begin
     */
    void putBack(WaitingRequest request, Optional<WaitingRequest> before, Deadline expectedStart) {
        putBackCount++;
        long nowNanos = clock.nanoTime();
        RequestCost cost = request.cost();
        LOGGER.info(
                "event=request-put-back id={} service={} model={} rank={} workspace={} in_favour_of={} reason={}"
                        + " expected_ms={} latest_ms={}",
                named(request.identity()),
                request.lane().service(),
                named(request.lane().model()),
                cost.rank(),
                named(cost.workspace()),
                before.map(WaitingRequest::identity).map(SlotLog::named).orElse("-"),
                before.map(first -> first.cost().reasonBefore(cost)).orElse("no-room"),
                expectedStart.remainingMillis(nowNanos),
                cost.latestStart().remainingMillis(nowNanos));
    }

    /**
     * Logs that a request is refused for want of capacity.
     *
     * @param request the request
     * @param expectedStart when it would have been expected to begin
     * @param retryAt the time that its caller is told
     */
    void refused(WaitingRequest request, Deadline expectedStart, Deadline retryAt) {
        refusedCount++;
        long nowNanos = clock.nanoTime();
        RequestCost cost = request.cost();
        LOGGER.info(
                "event=admission-refused id={} service={} model={} rank={} workspace={} returning={} work_ms={}"
                        + " expected_ms={} latest_ms={} retry_ms={}",
                named(request.identity()),
                request.lane().service(),
                named(request.lane().model()),
                cost.rank(),
                named(cost.workspace()),
                cost.isReturning(),
                Math.round(cost.workMillis()),
                expectedStart.remainingMillis(nowNanos),
                cost.latestStart().remainingMillis(nowNanos),
                retryAt.remainingMillis(nowNanos));
    }

    private static String named(String value) {
        return value.isEmpty() ? "-" : value;
    }

    long putBackCount() {
        return putBackCount;
    }

    long refusedCount() {
        return refusedCount;
    }
}
