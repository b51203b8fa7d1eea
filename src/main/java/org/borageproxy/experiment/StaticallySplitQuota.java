package org.borageproxy.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.borageproxy.quota.TokenQuota;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Workspace;

/** The baseline of quotas: each VM has an equal part of each rate and burst for itself. Not thread safe. */
final class SplitQuota implements TokenQuota {

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The workspaces. */
    private final Map<String, Workspace> workspaces;

    /** The number of VMs. */
    private final int parts;

    /** The virtual time. */
    private final VirtualTime time;

    /** The level of each bucket. */
    private final Map<String, Double> levels = new HashMap<>();

    /** When each bucket was filled last. */
    private final Map<String, Long> filledAt = new HashMap<>();

    /**
     * Creates full buckets.
     *
     * @param workspaces the workspaces
     * @param parts the number of VMs
     * @param time the virtual time
     */
    SplitQuota(Map<String, Workspace> workspaces, int parts, VirtualTime time) {
        this.workspaces = workspaces;
        this.parts = parts;
        this.time = time;
    }

    @Override
    public CompletionStage<Decision> reserve(String name, long tokens, Deadline deadline) {
        Workspace workspace = workspaces.get(name);
        double full = (double) workspace.burstTokens() / parts;
        double elapsed = (time.nowNanos() - filledAt.getOrDefault(name, 0L)) / NANOS_PER_SECOND;
        double accrued = elapsed * workspace.rateTokensPerSecond() / parts;
        double level = Math.min(full, levels.getOrDefault(name, full) + accrued);
        filledAt.put(name, time.nowNanos());
        levels.put(name, level >= tokens ? level - tokens : level);
        Decision decision = level >= tokens
                ? new Decision.Reserved(reservation(name, tokens, full))
                : new Decision.Refused(ResultCode.RATE_EXCEEDED, deadline);
        return CompletableFuture.completedFuture(decision);
    }

    /**
     * Returns a reservation.
     *
     * @param name the workspace's name
     * @param tokens the tokens
     * @param full the capacity of the bucket
     * @return the reservation
     */
    private Reservation reservation(String name, long tokens, double full) {
        return new Reservation() {
            @Override
            public void settle(long usedTokens) {
                levels.merge(name, (double) tokens - usedTokens, (level, unused) -> Math.min(full, level + unused));
            }

            @Override
            public void refund() {
                settle(0);
            }
        };
    }
}
