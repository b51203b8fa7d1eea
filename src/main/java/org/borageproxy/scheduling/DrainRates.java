package org.borageproxy.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * The rate at which work for a model or plain service begins while requests for it wait, in milliseconds of work per
 * millisecond. The observed rate replaces the nominal one, which ignores that servers run other models as well and that
 * batches fill, only while requests have been waiting. Not thread safe.
 */
final class DrainRates {

    /** Time in which the weight of an observation falls to 37 %. */
    private static final double DECAY_NANOS = 1e9;
    /** Time for which requests must have been waiting before the observed rate is used. */
    private static final double MIN_OBSERVED_NANOS = 0.3e9;
    /** Pause without a request that waits, after which the observation begins anew. */
    private static final long MAX_PAUSE_NANOS = 500_000_000L;
    /** Lowest rate relative to the nominal one, so that a short stall does not refuse everything. */
    private static final double MIN_NOMINAL_SHARE = 0.1;

    private static final double MIN_RATE = 0.01;
    private static final int MAX_TARGETS = 2_048;
    private static final double NANOS_PER_MILLISECOND = 1e6;

    private final Map<Target, Observation> observations = new HashMap<>();

    private record Target(String service, String model) {}

    private static final class Observation {
        private double startedMillis;
        private double observedNanos;
        private long atNanos;
        private double lastRate = 1;

        private void advance(boolean isContended, long nowNanos) {
            long elapsed = Math.max(0, nowNanos - atNanos);
            atNanos = nowNanos;
            if (elapsed > MAX_PAUSE_NANOS || !isContended) {
                startedMillis = 0;
                observedNanos = 0;
                return;
            }
            double factor = Math.exp(-elapsed / DECAY_NANOS);
            startedMillis *= factor;
            observedNanos = observedNanos * factor + elapsed;
        }
    }

    private Observation observation(WaitingRequest request) {
        if (observations.size() >= MAX_TARGETS) {
            observations.clear();
        }
        return observations.computeIfAbsent(
                new Target(request.lane().service(), request.lane().model()), target -> new Observation());
    }

    void recordStart(WaitingRequest request, boolean isContended, long nowNanos) {
        Observation observation = observation(request);
        observation.advance(isContended, nowNanos);
        if (isContended) {
            observation.startedMillis += request.cost().workMillis();
        }
    }

    double millisPerMillisecond(WaitingRequest request, double servers, long nowNanos) {
        Observation observation = observation(request);
        long pause = nowNanos - observation.atNanos;
        double observedNanos = observation.observedNanos + Math.max(0, pause);
        boolean isObserved = pause <= MAX_PAUSE_NANOS && observation.observedNanos >= MIN_OBSERVED_NANOS;
        double nominal = Math.max(MIN_RATE, servers);
        double observed = observation.startedMillis / (observedNanos / NANOS_PER_MILLISECOND);
        observation.lastRate =
                isObserved ? Math.max(nominal * MIN_NOMINAL_SHARE, Math.min(nominal, observed)) : nominal;
        return observation.lastRate;
    }

    /** Returns the rate that was last computed for the kind of a request. */
    double lastRate(WaitingRequest request) {
        return observation(request).lastRate;
    }
}
