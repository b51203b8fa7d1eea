package org.borageproxy.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The share of its limits up to which an engine takes requests of a rank. While more urgent work has been arriving for
 * the service, some of each engine is left free for it, so that a burst of less urgent work does not fill all engines
 * and urgent requests do not queue behind long prefills. Not thread safe.
 */
public final class UrgentHeadroom {

    /** Share left free for each more urgent rank that has been arriving. */
    private static final double RESERVE_PER_RANK = 0.15;
    /** Greatest share left free. */
    private static final double MAX_RESERVE = 0.3;
    /** Share of the arriving work from which a rank has something left free for it. */
    private static final double MIN_WORK_SHARE = 0.05;
    /** Time in which the weight of arrived work falls to 37 %. */
    private static final double DECAY_NANOS = 2e9;

    private static final double NEGLIGIBLE_MILLISECONDS = 1;

    private final Map<String, Arrivals> arrivals = new HashMap<>();

    private static final class Arrivals {
        private final TreeMap<Integer, Double> millisByRank = new TreeMap<>();
        private long atNanos;

        private void decay(long nowNanos) {
            double factor = Math.exp(-Math.max(0, nowNanos - atNanos) / DECAY_NANOS);
            atNanos = nowNanos;
            millisByRank.replaceAll((rank, millis) -> millis * factor);
            millisByRank.values().removeIf(millis -> millis < NEGLIGIBLE_MILLISECONDS);
        }
    }

    /**
     * Records the arrival of a request.
     *
     * @param service the service
     * @param cost the cost of the request
     * @param nowNanos the current reading of the clock in nanoseconds
     */
    public void recordArrival(String service, RequestCost cost, long nowNanos) {
        Arrivals known = arrivals.computeIfAbsent(service, name -> new Arrivals());
        known.decay(nowNanos);
        known.millisByRank.merge(cost.rank(), cost.workMillis(), Double::sum);
    }

    /**
     * Returns the share of its limits up to which an engine takes a request.
     *
     * @param service the service
     * @param rank the rank of the request
     * @param nowNanos the current reading of the clock in nanoseconds
     * @return one if no more urgent work has been arriving
     */
    public double usableShare(String service, int rank, long nowNanos) {
        Arrivals known = arrivals.get(service);
        if (known == null) {
            return 1;
        }
        known.decay(nowNanos);
        double total = known.millisByRank.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        long moreUrgentRanks = known.millisByRank.headMap(rank).values().stream()
                .filter(millis -> millis >= MIN_WORK_SHARE * total)
                .count();
        return 1 - Math.min(MAX_RESERVE, RESERVE_PER_RANK * moreUrgentRanks);
    }
}
