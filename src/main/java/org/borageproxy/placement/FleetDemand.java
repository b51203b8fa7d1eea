package org.borageproxy.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.borageproxy.claim.Target;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;

/**
 * The demand for models and adapters over the fleet: the requested tokens per second, and the number of requests that
 * wait because no engine has what they need. Not thread safe.
 */
final class FleetDemand {

    /** Weight of the latest sample in the exponential moving average. */
    private static final double LATEST_SAMPLE_WEIGHT = 0.45;
    /** Minimum time between two samples of a rate. */
    private static final double MIN_SAMPLE_SECONDS = 0.5;
    /** Demand is dropped after this time without requests. */
    private static final double RETENTION_SECONDS = 10;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<Target, DemandRecord> demands = new HashMap<>();

    private static final class DemandRecord {
        /** Exponential moving average of the samples. */
        private double averageTokensPerSecond;

        private double latestSample;
        /** Smaller one of the latest two samples. */
        private double lastingSample;

        private long unsampledTokens;
        private long sampledAtNanos;
        private long lastRequestedAtNanos;
        private int waitingLocally;
        private final Map<VmName, Integer> waitingByEntry = new HashMap<>();

        /** Rises within two samples, so that copies follow the demand; falls with the average. */
        private double tokensPerSecond() {
            return Math.max(averageTokensPerSecond, lastingSample);
        }

        private int totalWaiting() {
            return waitingLocally
                    + waitingByEntry.values().stream()
                            .mapToInt(Integer::intValue)
                            .sum();
        }
    }

    /** Discards the numbers that entry VMs have reported. Requests that wait on this VM stay counted. */
    void clearReports() {
        demands.values().removeIf(demandRecord -> demandRecord.waitingLocally == 0);
        demands.values().forEach(demandRecord -> demandRecord.waitingByEntry.clear());
    }

    /**
     * Applies the report of an entry VM.
     *
     * @param entry the name of the entry VM
     * @param reportedDemands the demand that arrived there since its previous report
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return whether requests are waiting there
     */
    boolean applyReport(VmName entry, List<ModelDemand> reportedDemands, long nowNanos) {
        demands.values().forEach(demandRecord -> demandRecord.waitingByEntry.remove(entry));
        boolean hasWaitingRequests = false;
        for (ModelDemand demand : reportedDemands) {
            DemandRecord demandRecord =
                    recordOf(new Target(demand.getService(), demand.getModel(), demand.getAdapter()));
            demandRecord.unsampledTokens += demand.getTokens();
            demandRecord.lastRequestedAtNanos = nowNanos;
            if (demand.getWaiting() > 0) {
                demandRecord.waitingByEntry.put(entry, demand.getWaiting());
                hasWaitingRequests = true;
            }
        }
        return hasWaitingRequests;
    }

    /**
     * Adjusts the number of requests that wait on this VM.
     *
     * @param target the model and adapter that they need
     * @param change 1 if a request starts to wait, -1 if one stops
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    void adjustWaiting(Target target, int change, long nowNanos) {
        DemandRecord demandRecord = recordOf(target);
        demandRecord.lastRequestedAtNanos = nowNanos;
        demandRecord.waitingLocally += change;
        // Whether an adapter is in use does not depend on the version that its requests need.
        recordOf(target.ofAnyVersion()).lastRequestedAtNanos = nowNanos;
    }

    private DemandRecord recordOf(Target target) {
        return demands.computeIfAbsent(target, key -> new DemandRecord());
    }

    /**
     * Updates the rates with the tokens since the last samples, and drops demand that has expired.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    void updateRates(long nowNanos) {
        demands.values().forEach(demandRecord -> {
            double seconds = (nowNanos - demandRecord.sampledAtNanos) / NANOS_PER_SECOND;
            if (seconds >= MIN_SAMPLE_SECONDS) {
                // The interval counts as one second at most, since a new record has no earlier sample.
                double sample = demandRecord.unsampledTokens / Math.min(seconds, 1.0);
                demandRecord.averageTokensPerSecond +=
                        LATEST_SAMPLE_WEIGHT * (sample - demandRecord.averageTokensPerSecond);
                demandRecord.lastingSample = Math.min(sample, demandRecord.latestSample);
                demandRecord.latestSample = sample;
                demandRecord.unsampledTokens = 0;
                demandRecord.sampledAtNanos = nowNanos;
            }
        });
        demands.values()
                .removeIf(demandRecord -> demandRecord.totalWaiting() == 0
                        && nowNanos - demandRecord.lastRequestedAtNanos > RETENTION_SECONDS * NANOS_PER_SECOND);
    }

    /**
     * Sums the demand for each model, including the demand for its adapters.
     *
     * @param service the service
     * @return the demand by model
     */
    Map<String, LoadPlanner.Demand> byModel(String service) {
        Map<String, LoadPlanner.Demand> byModel = new HashMap<>();
        demands.forEach((target, demandRecord) -> {
            if (target.service().equals(service)) {
                byModel.merge(
                        target.model(),
                        new LoadPlanner.Demand(demandRecord.tokensPerSecond(), demandRecord.totalWaiting()),
                        (one, other) -> new LoadPlanner.Demand(
                                one.tokensPerSecond() + other.tokensPerSecond(),
                                one.waitingRequests() + other.waitingRequests()));
            }
        });
        return byModel;
    }

    /**
     * Returns the adapters that requests are waiting for.
     *
     * @param service the service
     * @return the adapters with their models
     */
    List<Target> adaptersWithWaitingRequests(String service) {
        return demands.entrySet().stream()
                .filter(entry -> entry.getKey().service().equals(service)
                        && !entry.getKey().adapter().isEmpty()
                        && entry.getValue().totalWaiting() > 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Orders models and adapters by the time of their last request, least recently used first.
     *
     * @return the comparator
     */
    Comparator<Target> byLastRequestTime() {
        return Comparator.comparingLong(this::lastRequestedAtNanos);
    }

    /**
     * Returns the time of the last request for a model or adapter.
     *
     * @param target the model and adapter
     * @return the time on the monotonic clock, {@link Long#MIN_VALUE} if there was no recent request
     */
    long lastRequestedAtNanos(Target target) {
        DemandRecord demandRecord = demands.get(target);
        return demandRecord == null ? Long.MIN_VALUE : demandRecord.lastRequestedAtNanos;
    }
}
