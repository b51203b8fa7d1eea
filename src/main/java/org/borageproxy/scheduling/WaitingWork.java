package org.borageproxy.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** The work of the waiting requests for one model or plain service, by class and workspace. Not thread safe. */
final class WaitingWork {

    private final TreeMap<Integer, Map<String, Double>> classes = new TreeMap<>();
    private int count;

    void add(RequestCost cost) {
        count++;
        classes.computeIfAbsent(cost.order(), order -> new HashMap<>())
                .merge(cost.workspace(), cost.workMillis(), Double::sum);
    }

    /** Subtracts a request; the last one resets the sums, so that rounding errors do not accumulate. */
    void remove(RequestCost cost) {
        count--;
        if (count == 0) {
            classes.clear();
        } else {
            classes.get(cost.order()).merge(cost.workspace(), -cost.workMillis(), Double::sum);
        }
    }

    boolean isEmpty() {
        return count == 0;
    }

    /**
     * Returns the work in milliseconds that begins before a request that is added now: all of more urgent classes, all
     * of its workspace in its class, and as much of each other workspace in its class.
     */
    double ahead(RequestCost cost) {
        double ahead = classes.headMap(cost.order()).values().stream()
                .flatMap(workspaces -> workspaces.values().stream())
                .mapToDouble(Double::doubleValue)
                .sum();
        Map<String, Double> equal = classes.getOrDefault(cost.order(), Map.of());
        double own = equal.getOrDefault(cost.workspace(), 0.0);
        for (Map.Entry<String, Double> workspace : equal.entrySet()) {
            ahead += workspace.getKey().equals(cost.workspace())
                    ? own
                    : Math.min(workspace.getValue(), own + cost.workMillis());
        }
        return Math.max(0, ahead);
    }
}
