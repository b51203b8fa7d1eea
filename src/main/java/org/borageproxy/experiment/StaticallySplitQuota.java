package org.borageproxy.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.borageproxy.quota.TokenQuota;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Workspace;

/**
 * The baseline of quotas: each VM enforces an equal share of the rate and burst of each workspace on its own. A request
 * that exceeds the bucket is refused immediately and never waits. Not thread safe.
 */
final class StaticallySplitQuota implements TokenQuota {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Workspace> workspaces;

    private final int vmCount;

    private final VirtualTime time;

    /** Tokens in each bucket at its last refill; a missing bucket is full. */
    private final Map<String, Double> bucketLevels = new HashMap<>();

    private final Map<String, Long> refilledAtNanos = new HashMap<>();

    /** Creates full buckets. */
    StaticallySplitQuota(Map<String, Workspace> workspaces, int vmCount, VirtualTime time) {
        this.workspaces = workspaces;
        this.vmCount = vmCount;
        this.time = time;
    }

    @Override
    public CompletionStage<Decision> reserve(String name, long tokens, Deadline deadline) {
        Workspace workspace = workspaces.get(name);
        double capacity = (double) workspace.burstTokens() / vmCount;
        double elapsed = (time.nowNanos() - refilledAtNanos.getOrDefault(name, 0L)) / NANOS_PER_SECOND;
        double accrued = elapsed * workspace.rateTokensPerSecond() / vmCount;
        double level = Math.min(capacity, bucketLevels.getOrDefault(name, capacity) + accrued);
        refilledAtNanos.put(name, time.nowNanos());
        bucketLevels.put(name, level >= tokens ? level - tokens : level);
        Decision decision = level >= tokens
                ? new Decision.Reserved(reservation(name, tokens, capacity))
                : new Decision.Refused(ResultCode.RATE_EXCEEDED, deadline);
        return CompletableFuture.completedFuture(decision);
    }

    private Reservation reservation(String name, long tokens, double capacity) {
        return new Reservation() {
            @Override
            public void settle(long usedTokens) {
                bucketLevels.merge(
                        name, (double) tokens - usedTokens, (level, unused) -> Math.min(capacity, level + unused));
            }

            @Override
            public void refund() {
                settle(0);
            }
        };
    }
}
