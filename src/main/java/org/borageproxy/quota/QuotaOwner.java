package org.borageproxy.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.quota.CreditReply.Status;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Workspace;

/**
 * The decisions of the owner of one shard of the workspaces during one epoch. No credit holds longer than the lease
 * under which it was granted, so an owner's successor knows that none of its predecessor's credit is left; what was in
 * the predecessor's buckets is known only from a {@link HandOver} of the epoch before. Not thread safe.
 */
final class QuotaOwner {

    /** The shortest lifetime of credit that is worth granting, in nanoseconds. */
    private static final long SHORTEST_LIFETIME_NANOS = 20_000_000L;

    /** The epoch of the lease. */
    private final long epoch;

    /** The times that govern credit. */
    private final QuotaSettings settings;

    /** When the owner started. */
    private final long startedAtNanos;

    /** The workspaces that may have been served before the owner started. */
    private final Set<String> knownAtStart;

    /** What the predecessor left in the buckets, by workspace. */
    private final Map<String, Long> inherited;

    /** The workspaces' state by name. */
    private final Map<String, WorkspaceQuota> quotas = new HashMap<>();

    /**
     * Creates an owner.
     *
     * @param epoch the epoch of the lease
     * @param settings the times that govern credit
     * @param workspaces the workspaces as the owner starts
     * @param inherited the levels that the direct predecessor handed over, by workspace
     * @param nowNanos the time now
     */
    QuotaOwner(
            long epoch,
            QuotaSettings settings,
            Map<String, Workspace> workspaces,
            Map<String, Long> inherited,
            long nowNanos) {
        this.epoch = epoch;
        this.settings = settings;
        this.startedAtNanos = nowNanos;
        this.knownAtStart = Set.copyOf(workspaces.keySet());
        this.inherited = Map.copyOf(inherited);
        for (Workspace workspace : workspaces.values()) {
            quotaOf(workspace, nowNanos);
        }
    }

    /**
     * Answers a request for credit.
     *
     * @param request the request
     * @param workspace the workspace's settings now
     * @param leaseEnd when the lease ends
     * @param closing whether the owner gives its duty back
     * @param nowNanos the time now
     * @return the reply, which holds only if the lease has not ended when it is sent
     */
    CreditReply answer(CreditRequest request, Workspace workspace, Deadline leaseEnd, boolean closing, long nowNanos) {
        long leaseNanos = QuotaSettings.lessDrift(leaseEnd.remainingNanos(nowNanos));
        if (request.epoch() != epoch || leaseNanos < SHORTEST_LIFETIME_NANOS) {
            return CreditReply.withoutGrant(Status.NOT_OWNER, epoch, request.sequence());
        }
        WorkspaceQuota quota = quotaOf(workspace, nowNanos);
        quota.bucket().changeLimits(workspace.rateTokensPerSecond(), workspace.burstTokens(), nowNanos);
        long lifetimeNanos = Math.min(settings.creditLifetime().toNanos(), leaseNanos);
        return quota.answer(request, epoch, lifetimeNanos, closing, nowNanos);
    }

    /**
     * Returns the state of a workspace and creates it at first sight.
     *
     * @param workspace the workspace's settings
     * @param nowNanos the time now
     * @return its state
     */
    private WorkspaceQuota quotaOf(Workspace workspace, long nowNanos) {
        return quotas.computeIfAbsent(workspace.name(), name -> {
            double level = provableLevel(workspace, nowNanos);
            TokenBucket bucket =
                    new TokenBucket(workspace.rateTokensPerSecond(), workspace.burstTokens(), level, nowNanos);
            return new WorkspaceQuota(bucket, settings);
        });
    }

    /**
     * Returns the tokens that are certain to be left of a workspace that the owner has not served yet.
     *
     * @param workspace the workspace's settings
     * @param nowNanos the time now
     * @return tokens
     */
    private double provableLevel(Workspace workspace, long nowNanos) {
        boolean settled = nowNanos - startedAtNanos > settings.startUpPeriod().toNanos();
        if (settled && !knownAtStart.contains(workspace.name())) {
            return workspace.burstTokens();
        }
        return inherited.getOrDefault(workspace.name(), 0L);
    }

    /**
     * Returns the levels of the buckets if no credit is outstanding.
     *
     * @param nowNanos the time now
     * @return the levels by workspace, or empty while credit is outstanding
     */
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

    /**
     * Returns the credit outstanding of a workspace.
     *
     * @param workspace the workspace's name
     * @return tokens
     */
    long outstanding(String workspace) {
        WorkspaceQuota quota = quotas.get(workspace);
        return quota == null ? 0 : quota.bucket().outstanding();
    }
}
