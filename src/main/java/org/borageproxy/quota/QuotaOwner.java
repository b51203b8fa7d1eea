package org.borageproxy.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.quota.CreditReply.Status;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Workspace;

/**
 * The owner of one shard during one epoch. Credit never outlives the lease under which it was granted, so all credit of
 * a predecessor has expired when an owner starts. The predecessor's bucket levels are known only from a
 * {@link HandOver} of the directly preceding epoch; without one, buckets start empty. Not thread safe.
 */
final class QuotaOwner {

    /** Shortest lifetime of granted credit; nothing is granted if the lease ends earlier. In nanoseconds. */
    private static final long MIN_LIFETIME_NANOS = 20_000_000L;

    private final long epoch;
    private final QuotaSettings settings;
    private final long startedAtNanos;

    /** Workspaces that the predecessor may have served. */
    private final Set<String> workspacesAtStart;

    /** Bucket levels handed over by the predecessor, by workspace. */
    private final Map<String, Long> inheritedLevels;

    private final Map<String, WorkspaceQuota> quotas = new HashMap<>();

    /**
     * Creates an owner.
     *
     * @param epoch the epoch of the lease
     * @param settings the lifetimes and intervals
     * @param workspaces the current workspaces of the shard by name
     * @param inheritedLevels the bucket levels handed over by the direct predecessor, by workspace
     * @param nowNanos the current time of the clock
     */
    QuotaOwner(
            long epoch,
            QuotaSettings settings,
            Map<String, Workspace> workspaces,
            Map<String, Long> inheritedLevels,
            long nowNanos) {
        this.epoch = epoch;
        this.settings = settings;
        this.startedAtNanos = nowNanos;
        this.workspacesAtStart = Set.copyOf(workspaces.keySet());
        this.inheritedLevels = Map.copyOf(inheritedLevels);
        for (Workspace workspace : workspaces.values()) {
            quotaOf(workspace, nowNanos);
        }
    }

    /**
     * Answers a request for credit.
     *
     * @param request the request
     * @param workspace the workspace's current rate and burst
     * @param leaseEnd when the lease ends
     * @param closing whether the owner is about to release the shard
     * @param nowNanos the current time of the clock
     * @return the reply, valid only if the lease has not ended when it is sent
     */
    CreditReply answer(CreditRequest request, Workspace workspace, Deadline leaseEnd, boolean closing, long nowNanos) {
        long leaseNanos = QuotaSettings.lessDrift(leaseEnd.remainingNanos(nowNanos));
        if (request.epoch() != epoch || leaseNanos < MIN_LIFETIME_NANOS) {
            return CreditReply.withoutGrant(Status.NOT_OWNER, epoch, request.sequence());
        }
        WorkspaceQuota quota = quotaOf(workspace, nowNanos);
        quota.bucket().changeLimits(workspace.rateTokensPerSecond(), workspace.burstTokens(), nowNanos);
        long lifetimeNanos = Math.min(settings.creditLifetime().toNanos(), leaseNanos);
        return quota.answer(request, epoch, lifetimeNanos, closing, nowNanos);
    }

    /** Returns the state of a workspace; creates it on the first request. */
    private WorkspaceQuota quotaOf(Workspace workspace, long nowNanos) {
        return quotas.computeIfAbsent(workspace.name(), name -> {
            double level = initialLevel(workspace, nowNanos);
            TokenBucket bucket =
                    new TokenBucket(workspace.rateTokensPerSecond(), workspace.burstTokens(), level, nowNanos);
            return new WorkspaceQuota(bucket, settings);
        });
    }

    /**
     * Returns the tokens that a workspace's bucket certainly contains at the first request. A workspace that was added
     * after the start-up period was never served before, so its bucket is full.
     */
    private double initialLevel(Workspace workspace, long nowNanos) {
        boolean isStartUpOver =
                nowNanos - startedAtNanos > settings.startUpPeriod().toNanos();
        if (isStartUpOver && !workspacesAtStart.contains(workspace.name())) {
            return workspace.burstTokens();
        }
        return inheritedLevels.getOrDefault(workspace.name(), 0L);
    }

    /** Returns the bucket levels by workspace, or empty while any credit is outstanding. */
    Optional<Map<String, Long>> settledLevels(long nowNanos) {
        Map<String, Long> levels = new HashMap<>();
        for (Map.Entry<String, WorkspaceQuota> quota : quotas.entrySet()) {
            quota.getValue().advance(nowNanos);
            TokenBucket bucket = quota.getValue().bucket();
            if (bucket.outstanding() > 0) {
                return Optional.empty();
            }
            levels.put(quota.getKey(), bucket.level());
        }
        return Optional.of(levels);
    }

    /** Returns the outstanding credit of a workspace, in tokens. */
    long outstanding(String workspace) {
        WorkspaceQuota quota = quotas.get(workspace);
        return quota == null ? 0 : quota.bucket().outstanding();
    }
}
