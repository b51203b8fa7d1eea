package org.borageproxy.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * Ratios of observed to expected latency by model or plain service, as exponential moving averages. Ratios are bounded.
 * Not thread safe; confined to the event loop of the requests.
 */
final class ModelLatencyRatios {

    /** Weight of a new sample in the moving average. */
    private static final double SAMPLE_WEIGHT = 0.1;

    private static final double MAX_RATIO = 20.0;
    private static final double MIN_RATIO = 0.05;

    private final Map<String, Double> ratios = new HashMap<>();

    /**
     * Returns the latency ratio of a model or plain service.
     *
     * @param name the model or plain service
     * @return the ratio; one without samples, greater if answers take longer than expected
     */
    double of(String name) {
        return ratios.getOrDefault(name, 1.0);
    }

    /**
     * Records the latency of an answer. The first observation of a name starts its average at one.
     *
     * @param name the model or plain service
     * @param ratio the observed latency divided by the expected one, which already includes the current average
     */
    void recordObservation(String name, double ratio) {
        double observed = clamp(ratio);
        ratios.merge(name, 1.0, (average, one) -> clamp(average * (1 + SAMPLE_WEIGHT * (observed - 1))));
    }

    /**
     * Merges the latency ratio that another VM observed.
     *
     * @param name the model or plain service
     * @param ratio the moving average of the other VM
     */
    void merge(String name, double ratio) {
        ratios.merge(name, clamp(ratio), (average, reported) -> average + SAMPLE_WEIGHT * (reported - average));
    }

    /**
     * Returns all latency ratios.
     *
     * @return a copy of the ratios by name
     */
    Map<String, Double> all() {
        return Map.copyOf(ratios);
    }

    static double clamp(double ratio) {
        return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
    }
}
