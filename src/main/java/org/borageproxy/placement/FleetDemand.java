package org.borageproxy.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;

/**
 * What callers ask of models and adapters: tokens in a second, and requests that wait because no engine holds what they
 * need. Not thread safe.
 */
final class FleetDemand {

    /** The weight of the newest second in demand. */
    private static final double NEWEST = 0.45;
    /** The least time over which a rate is measured, in seconds. */
    private static final double LEAST_SPAN = 0.5;
    /** The time after which what nobody asks for is forgotten, in seconds. */
    private static final double MEMORY = 10;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<Target, Measured> demands = new HashMap<>();

    /**
     * What a request needs of an engine.
     *
     * @param service the service
     * @param model the model
     * @param adapter the adapter; empty for none
     */
    record Target(String service, String model, String adapter) {}

    private static final class Measured {
        private double tokensPerSecond;
        private long tokens;
        private long measuredAtNanos;
        private long askedAtNanos;
        private int waitingHere;
        private final Map<VmName, Integer> waiting = new HashMap<>();

        private int waitingCount() {
            return waitingHere
                    + waiting.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /** Forgets what entries reported. Requests that wait on this VM go on waiting. */
    void clearReports() {
        demands.values().removeIf(measured -> measured.waitingHere == 0);
        demands.values().forEach(measured -> measured.waiting.clear());
    }

    /**
     * Takes an entry's report.
     *
     * @param entry the entry
     * @param reported what was asked of it since its report before
     * @param nowNanos the reading of the clock
     * @return whether requests wait there
     */
    boolean applyReport(VmName entry, List<ModelDemand> reported, long nowNanos) {
        demands.values().forEach(measured -> measured.waiting.remove(entry));
        boolean isUrgent = false;
        for (ModelDemand demand : reported) {
            Measured measured = measured(new Target(demand.getService(), demand.getModel(), demand.getAdapter()));
            measured.tokens += demand.getTokens();
            measured.askedAtNanos = nowNanos;
            if (demand.getWaiting() > 0) {
                measured.waiting.put(entry, demand.getWaiting());
                isUrgent = true;
            }
        }
        return isUrgent;
    }

    /**
     * Takes a change of the requests that wait on this VM.
     *
     * @param wanted what they wait for
     * @param change one for a request that begins to wait, minus one for one that ends
     * @param nowNanos the reading of the clock
     */
    void adjustWaiting(Target wanted, int change, long nowNanos) {
        Measured measured = measured(wanted);
        measured.askedAtNanos = nowNanos;
        measured.waitingHere += change;
    }

    private Measured measured(Target wanted) {
        return demands.computeIfAbsent(wanted, key -> new Measured());
    }

    /**
     * Brings the rates up to date.
     *
     * @param nowNanos the reading of the clock
     */
    void updateRates(long nowNanos) {
        demands.values().forEach(measured -> {
            double seconds = (nowNanos - measured.measuredAtNanos) / NANOS_PER_SECOND;
            if (seconds >= LEAST_SPAN) {
                double rate = measured.tokens / Math.min(seconds, 1.0);
                measured.tokensPerSecond += NEWEST * (rate - measured.tokensPerSecond);
                measured.tokens = 0;
                measured.measuredAtNanos = nowNanos;
            }
        });
        demands.values()
                .removeIf(measured ->
                        measured.waitingCount() == 0 && nowNanos - measured.askedAtNanos > MEMORY * NANOS_PER_SECOND);
    }

    /**
     * Sums up the demand for each model, that for its adapters included.
     *
     * @param service the service
     * @return the demand by model
     */
    Map<String, LoadPlanner.Demand> byModel(String service) {
        Map<String, LoadPlanner.Demand> byModel = new HashMap<>();
        demands.forEach((wanted, measured) -> {
            if (wanted.service().equals(service)) {
                byModel.merge(
                        wanted.model(),
                        new LoadPlanner.Demand(measured.tokensPerSecond, measured.waitingCount()),
                        (one, other) -> new LoadPlanner.Demand(
                                one.tokensPerSecond() + other.tokensPerSecond(),
                                one.waitingRequests() + other.waitingRequests()));
            }
        });
        return byModel;
    }

    /**
     * Returns the adapters that requests wait for.
     *
     * @param service the service
     * @return the adapters with their models
     */
    List<Target> adaptersWithWaitingRequests(String service) {
        return demands.entrySet().stream()
                .filter(entry -> entry.getKey().service().equals(service)
                        && !entry.getKey().adapter().isEmpty()
                        && entry.getValue().waitingCount() > 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Orders what engines hold by when it was last asked for, what nobody asks for first.
     *
     * @return the order
     */
    Comparator<Target> byLastRequestTime() {
        return Comparator.comparingLong(this::lastRequestedAtNanos);
    }

    /**
     * Returns when something was last asked for.
     *
     * @param wanted what
     * @return the reading of the clock; the least value if nobody asked lately
     */
    long lastRequestedAtNanos(Target wanted) {
        Measured measured = demands.get(wanted);
        return measured == null ? Long.MIN_VALUE : measured.askedAtNanos;
    }
}
