package org.borageproxy.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.borageproxy.claim.ModelClaim;

/**
 * Completes the demand for models with the claims of requests that were refused and not served since, and with the
 * copies that were loaded lately. Reads the engines; not thread safe, since the engines aren't.
 *
 * @param claims the claims by model
 * @param engines the engines of the service
 */
record ClaimedDemand(Map<String, ModelClaim> claims, Collection<TrackedEngine> engines) {

    /**
     * Completes the demand. Requests that were refused just now count as waiting.
     *
     * @param byModel the demand by model
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the demand for these models and those with claims
     */
    Map<String, LoadPlanner.Demand> complete(Map<String, LoadPlanner.Demand> byModel, long nowNanos) {
        Map<String, LoadPlanner.Demand> completed = new HashMap<>(byModel);
        claims.keySet().forEach(model -> completed.putIfAbsent(model, LoadPlanner.Demand.NONE));
        completed.replaceAll((model, demand) -> complete(model, demand, nowNanos));
        return completed;
    }

    private LoadPlanner.Demand complete(String model, LoadPlanner.Demand demand, long nowNanos) {
        boolean isKept = engines.stream().anyMatch(engine -> engine.isKept(model, nowNanos));
        ModelClaim claim = claims.getOrDefault(model, new ModelClaim(LoadPlanner.Demand.NOT_WAITING, 0, 0, 0));
        return new LoadPlanner.Demand(
                demand.tokensPerSecond(),
                demand.waitingRequests() + claim.recentRefusals(),
                Math.min(demand.waitingSinceNanos(), claim.sinceNanos()),
                demand.isCopyLost(),
                claim.priority(),
                claim.priority() > 0 && claim.isOverdue(nowNanos),
                isKept);
    }
}
