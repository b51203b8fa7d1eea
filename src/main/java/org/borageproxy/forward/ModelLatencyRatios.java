package org.borageproxy.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * How fast models answer in proportion to the expected time, as moving means. Not thread safe; used by the event loop
 * of the requests.
 */
final class ModelLatencyRatios {

    /** The weight of the newest observation. */
    private static final double NEWEST = 0.1;

    private static final double SLOWEST = 20.0;
    private static final double FASTEST = 0.05;

    private final Map<String, Double> paces = new HashMap<>();

    /**
     * Returns the pace of a model or a plain service.
     *
     * @param name the name
     * @return one for the expected pace
     */
    double of(String name) {
        return paces.getOrDefault(name, 1.0);
    }

    /**
     * Takes an answer.
     *
     * @param name the model or the plain service
     * @param ratio its time in proportion to the expected one
     */
    void recordObservation(String name, double ratio) {
        double observed = clamp(ratio);
        paces.merge(name, 1.0, (known, one) -> clamp(known * (1 + NEWEST * (observed - 1))));
    }

    /**
     * Takes the pace as another VM sees it.
     *
     * @param name the model or the plain service
     * @param pace its pace
     */
    void merge(String name, double pace) {
        paces.merge(name, clamp(pace), (known, reported) -> known + NEWEST * (reported - known));
    }

    /**
     * Returns all paces.
     *
     * @return the pace by name
     */
    Map<String, Double> all() {
        return Map.copyOf(paces);
    }

    static double clamp(double pace) {
        return Math.max(FASTEST, Math.min(SLOWEST, pace));
    }
}
