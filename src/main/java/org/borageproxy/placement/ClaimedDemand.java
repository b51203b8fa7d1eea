package org.borageproxy.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.borageproxy.time.Deadline;

/**
 * Completes the demand for models with the claims of requests that were refused and not served since, and with the
 * copies that were loaded lately. Reads the engines; not thread safe, since the engines aren't.
 *
 * @param sinceNanosByModel the times of the earliest claims on the monotonic clock in nanoseconds, by model
 * @param engines the engines of the service
 */
record ClaimedDemand(Map<String, Long> sinceNanosByModel, Collection<TrackedEngine> engines) {

    /** Time without service after which a model takes the place of one in more demand. */
    private static final Duration MAX_PATIENCE = Duration.ofSeconds(8);

    /**
     * Completes the demand.
     *
     * @param byModel the demand by model
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the demand for these models and those with claims
     */
    Map<String, LoadPlanner.Demand> complete(Map<String, LoadPlanner.Demand> byModel, long nowNanos) {
        Map<String, LoadPlanner.Demand> completed = new HashMap<>(byModel);
        sinceNanosByModel.keySet().forEach(model -> completed.putIfAbsent(model, LoadPlanner.Demand.NONE));
        completed.replaceAll((model, demand) -> complete(model, demand, nowNanos));
        return completed;
    }

    private LoadPlanner.Demand complete(String model, LoadPlanner.Demand demand, long nowNanos) {
        long sinceNanos = Math.min(
                demand.waitingSinceNanos(), sinceNanosByModel.getOrDefault(model, LoadPlanner.Demand.NOT_WAITING));
        boolean isOverdue = sinceNanos != LoadPlanner.Demand.NOT_WAITING
                && Deadline.after(sinceNanos, MAX_PATIENCE).hasPassed(nowNanos);
        return new LoadPlanner.Demand(
                demand.tokensPerSecond(),
                demand.waitingRequests(),
                sinceNanos,
                demand.isCopyLost(),
                isOverdue,
                engines.stream().anyMatch(engine -> engine.isKept(model, nowNanos)));
    }
}
