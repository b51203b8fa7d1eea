package org.borageproxy.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * The work that was begun for each workspace and rank in the last seconds. Older work counts less and less, so that a
 * workspace is not held back for capacity that nobody else needed at the time. Not thread safe.
 */
final class RecentService {

    /** Time in which the weight of work falls to 37 %: several times the wait of an urgent request. */
    private static final double DECAY_NANOS = 1.5e9;
    /** Entries beyond which those of idle workspaces are removed. */
    private static final int MAX_ENTRIES = 1_024;

    private static final double NEGLIGIBLE_MILLISECONDS = 0.01;

    private final Map<Key, Decayed> served = new HashMap<>();

    private record Key(int rank, String workspace) {}

    private record Decayed(double millis, long atNanos) {
        double at(long nowNanos) {
            return millis * Math.exp(-Math.max(0, nowNanos - atNanos) / DECAY_NANOS);
        }
    }

    void record(RequestCost cost, long nowNanos) {
        if (served.size() >= MAX_ENTRIES) {
            served.values().removeIf(each -> each.at(nowNanos) < NEGLIGIBLE_MILLISECONDS);
        }
        double millis = millis(cost.rank(), cost.workspace(), nowNanos) + cost.workMillis();
        served.put(new Key(cost.rank(), cost.workspace()), new Decayed(millis, nowNanos));
    }

    /** Returns the decayed work of a workspace in milliseconds. */
    double millis(int rank, String workspace, long nowNanos) {
        Decayed known = served.get(new Key(rank, workspace));
        return known == null ? 0 : known.at(nowNanos);
    }
}
