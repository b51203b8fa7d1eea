package org.borageproxy.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.borageproxy.event.Event;
import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.quota.CreditReply.Status;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Workspace;

/**
 * The shards that this VM owns, with their leases. Each reply is checked against the lease again after it has been
 * computed, so that a VM that was paused for longer than its lease grants nothing. Thread safe: this object's monitor
 * guards the table, and nothing called under it waits for another lock.
 */
final class OwnedShards {

    /**
     * Delay before a free shard is acquired, per shard already owned, in nanoseconds. It spreads the shards over the
     * VMs.
     */
    private static final long ACQUIRE_DELAY_PER_SHARD_NANOS = 300_000_000L;

    /** A lease is renewed once its remaining time is below this fraction of its duration. */
    private static final double RENEWAL_THRESHOLD = 0.7;

    /** Minimum time between two requests for the same lease, in nanoseconds. */
    private static final long MIN_ATTEMPT_INTERVAL_NANOS = 200_000_000L;

    private final QuotaEnvironment environment;

    /** Time at which all credit granted by an earlier run of this process has expired. */
    private final Deadline earliestStart;

    /** Owned shards by number. */
    private final Map<Integer, OwnedShard> owned = new HashMap<>();

    /** Times since when shards have had no valid lease, by shard. */
    private final Map<Integer, Long> freeSinceNanos = new HashMap<>();

    /** Times of the last requests for a lease, by shard. */
    private final Map<Integer, Long> attemptedAtNanos = new HashMap<>();

    /** Latest hand-over received for each shard. */
    private final Map<Integer, HandOver> handOvers = new HashMap<>();

    /** Whether the leases are being released. */
    private boolean closing;

    /** An owned shard with its lease. */
    private static final class OwnedShard {

        private final QuotaOwner owner;
        private Lease lease;

        /** Remaining time of the lease when it was last renewed, in nanoseconds. */
        private long leaseLengthNanos;

        OwnedShard(QuotaOwner owner) {
            this.owner = owner;
        }
    }

    /** Creates an empty table. */
    OwnedShards(QuotaEnvironment environment) {
        this.environment = environment;
        long nowNanos = environment.clock().nanoTime();
        long lifetimeNanos = environment.settings().creditLifetime().toNanos();
        this.earliestStart = new Deadline(environment.settings().writeOffAtNanos(nowNanos, lifetimeNanos));
    }

    /**
     * Renews leases below the renewal threshold and tries to acquire at most one free shard. Does nothing until the
     * credit granted by an earlier run of this process has expired.
     */
    void renewAndAcquire() {
        long nowNanos = environment.clock().nanoTime();
        if (!earliestStart.hasPassed(nowNanos)) {
            return;
        }
        for (int shard : shardsToRequest(nowNanos)) {
            Duty duty = Duty.quotaShard(shard);
            environment.leases().acquire(duty).whenComplete((lease, failure) -> {
                if (failure == null) {
                    applyLease(shard, lease, nowNanos);
                }
            });
        }
    }

    /** Drops shards whose lease has expired, and returns the shards whose lease is to be acquired or renewed now. */
    private synchronized List<Integer> shardsToRequest(long nowNanos) {
        owned.values().removeIf(shard -> shard.lease.expiresAt().hasPassed(nowNanos));
        List<Integer> due = new ArrayList<>();
        for (Map.Entry<Integer, OwnedShard> shard : owned.entrySet()) {
            long remainingNanos = shard.getValue().lease.expiresAt().remainingNanos(nowNanos);
            if (remainingNanos < shard.getValue().leaseLengthNanos * RENEWAL_THRESHOLD) {
                due.add(shard.getKey());
            }
        }
        if (!closing) {
            nextFreeShard(nowNanos).ifPresent(due::add);
        }
        due.removeIf(shard -> nowNanos - attemptedAtNanos.getOrDefault(shard, nowNanos - MIN_ATTEMPT_INTERVAL_NANOS)
                < MIN_ATTEMPT_INTERVAL_NANOS);
        due.forEach(shard -> attemptedAtNanos.put(shard, nowNanos));
        return due;
    }

    /**
     * Returns the free shard with the best rank for this VM, if any has been free for longer than this VM has to wait.
     */
    private Optional<Integer> nextFreeShard(long nowNanos) {
        long delayNanos = owned.size() * ACQUIRE_DELAY_PER_SHARD_NANOS;
        List<Integer> free = new ArrayList<>();
        for (int shard = 0; shard < environment.shardCount(); shard++) {
            Optional<Lease> lease = environment.leases().lastKnownLease(Duty.quotaShard(shard));
            boolean isLeased = lease.isPresent()
                    && !lease.get().expiresAt().hasPassed(nowNanos)
                    && !lease.get().holder().equals(environment.self());
            if (isLeased || owned.containsKey(shard)) {
                freeSinceNanos.remove(shard);
            } else if (nowNanos - freeSinceNanos.computeIfAbsent(shard, key -> nowNanos) >= delayNanos) {
                free.add(shard);
            }
        }
        String vm = environment.self().value();
        return free.stream().min(Comparator.comparingInt(shard -> QuotaShards.preferenceRank(vm, shard)));
    }

    /**
     * Processes the result of a request for a lease.
     *
     * @param shard the shard
     * @param lease the lease, or empty if another VM holds it
     * @param requestedAtNanos when the lease was requested
     */
    private synchronized void applyLease(int shard, Optional<Lease> lease, long requestedAtNanos) {
        if (lease.isEmpty()) {
            if (owned.remove(shard) != null) {
                recordEvent("quota-shard-lost", shard, 0);
            }
            return;
        }
        OwnedShard current = owned.get(shard);
        if (current == null && closing) {
            environment.leases().release(lease.get());
            return;
        }
        if (current == null || current.lease.epoch() != lease.get().epoch()) {
            current = startOwner(shard, lease.get());
            owned.put(shard, current);
        }
        current.lease = lease.get();
        current.leaseLengthNanos = lease.get().expiresAt().remainingNanos(requestedAtNanos);
    }

    private OwnedShard startOwner(int shard, Lease lease) {
        long nowNanos = environment.clock().nanoTime();
        HandOver handOver = handOvers.remove(shard);
        boolean isDirectPredecessor = handOver != null && handOver.epoch() == lease.epoch() - 1;
        Map<String, Long> inheritedLevels = isDirectPredecessor ? handOver.levels() : Map.of();
        Map<String, Workspace> workspaces = new HashMap<>();
        environment.configuration().current().workspaces().forEach((name, workspace) -> {
            if (QuotaShards.shardOf(name, environment.shardCount()) == shard) {
                workspaces.put(name, workspace);
            }
        });
        recordEvent("quota-shard-acquired", shard, lease.epoch());
        return new OwnedShard(
                new QuotaOwner(lease.epoch(), environment.settings(), workspaces, inheritedLevels, nowNanos));
    }

    /**
     * Answers a request for credit.
     *
     * @param request the request
     * @return a reply with status {@code NOT_OWNER} if this VM does not own the shard in the request's epoch, its lease
     *     has expired, the workspace is unknown or the configuration is stale
     */
    synchronized CreditReply answer(CreditRequest request) {
        CreditReply refusal = CreditReply.withoutGrant(Status.NOT_OWNER, request.epoch(), request.sequence());
        OwnedShard shard = owned.get(request.shard());
        Configuration configuration = environment.configuration().current();
        Workspace workspace = configuration.workspaces().get(request.workspace());
        long nowNanos = environment.clock().nanoTime();
        if (shard == null || workspace == null || !environment.configuration().isFresh(nowNanos)) {
            return refusal;
        }
        CreditReply reply = shard.owner.answer(request, workspace, shard.lease.expiresAt(), closing, nowNanos);
        boolean isLeaseExpired =
                shard.lease.expiresAt().hasPassed(environment.clock().nanoTime());
        return isLeaseExpired ? refusal : reply;
    }

    /** Stores a predecessor's hand-over until this VM owns the shard; the one with the highest epoch is kept. */
    synchronized void acceptHandOver(HandOver handOver) {
        handOvers.merge(
                handOver.shard(), handOver, (stored, other) -> stored.epoch() >= other.epoch() ? stored : other);
    }

    /** Stops granting credit and acquiring shards. */
    synchronized void beginClosing() {
        closing = true;
    }

    /**
     * Removes the shards without outstanding credit from the table.
     *
     * @return the removed shards; the caller sends each hand-over to all peers before it releases the lease
     */
    synchronized List<ReleasedShard> releaseSettledShards() {
        long nowNanos = environment.clock().nanoTime();
        List<ReleasedShard> released = new ArrayList<>();
        for (int shard : IntStream.range(0, environment.shardCount()).toArray()) {
            OwnedShard current = owned.get(shard);
            if (current == null) {
                continue;
            }
            Lease lease = current.lease;
            if (lease.expiresAt().hasPassed(nowNanos)) {
                owned.remove(shard);
                continue;
            }
            current.owner.settledLevels(nowNanos).ifPresent(levels -> {
                owned.remove(shard);
                recordEvent("quota-shard-released", shard, lease.epoch());
                released.add(new ReleasedShard(lease, new HandOver(shard, lease.epoch(), levels)));
            });
        }
        return released;
    }

    /**
     * A shard that this VM no longer owns.
     *
     * @param lease the lease to release
     * @param handOver the hand-over to the successor
     */
    record ReleasedShard(Lease lease, HandOver handOver) {}

    /** Returns whether no shard is owned. */
    synchronized boolean isEmpty() {
        return owned.isEmpty();
    }

    private void recordEvent(String name, int shard, long epoch) {
        environment.events().record(Event.named(name).with("shard", shard).with("epoch", epoch));
    }
}
