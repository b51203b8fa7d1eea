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
 * The shards that this VM owns, and the leases by which it owns them. An answer leaves only while the lease holds,
 * which is checked again after the decision. Thread safe: the table is guarded by this object, and nothing is called
 * under that lock that takes another lock and waits.
 */
final class OwnedShards {

    /** How long a VM waits for each shard it holds before it takes another free one, in nanoseconds. */
    private static final long RESTRAINT_NANOS = 300_000_000L;

    /** The part of a lease that must be left when it is renewed. */
    private static final double RENEW_BELOW = 0.7;

    /** The shortest time between two attempts at one lease, in nanoseconds. */
    private static final long ATTEMPT_INTERVAL_NANOS = 200_000_000L;

    /** The surroundings of this VM. */
    private final QuotaEnvironment environment;

    /** When credit that an earlier run of this process granted has certainly ended. */
    private final Deadline earliestStart;

    /** The owned shards by number. */
    private final Map<Integer, Owned> owned = new HashMap<>();

    /** Since when shards have been seen without a holder. */
    private final Map<Integer, Long> freeSinceNanos = new HashMap<>();

    /** When a lease was asked for last. */
    private final Map<Integer, Long> attemptedAtNanos = new HashMap<>();

    /** Notices of predecessors by shard. */
    private final Map<Integer, HandOver> handOvers = new HashMap<>();

    /** Whether duties are given back. */
    private boolean closing;

    /** A shard that this VM owns. */
    private static final class Owned {

        /** The decisions. */
        private final QuotaOwner owner;

        /** The newest lease. */
        private Lease lease;

        /** The length of the lease when it was renewed, in nanoseconds. */
        private long lengthNanos;

        /**
         * Creates an owned shard.
         *
         * @param owner the decisions
         */
        Owned(QuotaOwner owner) {
            this.owner = owner;
        }
    }

    /**
     * Creates the table without any shard.
     *
     * @param environment the surroundings of this VM
     */
    OwnedShards(QuotaEnvironment environment) {
        this.environment = environment;
        long nowNanos = environment.clock().nanoTime();
        long lifetimeNanos = environment.settings().creditLifetime().toNanos();
        this.earliestStart = new Deadline(environment.settings().writeOffAtNanos(nowNanos, lifetimeNanos));
    }

    /** Renews leases that run short and takes at most one free shard. */
    void renewAndAcquire() {
        long nowNanos = environment.clock().nanoTime();
        if (!earliestStart.hasPassed(nowNanos)) {
            return;
        }
        for (int shard : duties(nowNanos)) {
            Duty duty = Duty.quotaShard(shard);
            environment.leases().acquire(duty).whenComplete((lease, failure) -> {
                if (failure == null) {
                    update(shard, lease, nowNanos);
                }
            });
        }
    }

    /**
     * Returns the shards whose leases are to be asked for now.
     *
     * @param nowNanos the time now
     * @return the shards
     */
    private synchronized List<Integer> duties(long nowNanos) {
        owned.values().removeIf(shard -> shard.lease.expiresAt().hasPassed(nowNanos));
        List<Integer> due = new ArrayList<>();
        for (Map.Entry<Integer, Owned> shard : owned.entrySet()) {
            long remainingNanos = shard.getValue().lease.expiresAt().remainingNanos(nowNanos);
            if (remainingNanos < shard.getValue().lengthNanos * RENEW_BELOW) {
                due.add(shard.getKey());
            }
        }
        if (!closing) {
            freeShard(nowNanos).ifPresent(due::add);
        }
        due.removeIf(shard -> nowNanos - attemptedAtNanos.getOrDefault(shard, nowNanos - ATTEMPT_INTERVAL_NANOS)
                < ATTEMPT_INTERVAL_NANOS);
        due.forEach(shard -> attemptedAtNanos.put(shard, nowNanos));
        return due;
    }

    /**
     * Returns the free shard that this VM prefers, if it may take one; the more it holds, the longer it waits.
     *
     * @param nowNanos the time now
     * @return the shard
     */
    private Optional<Integer> freeShard(long nowNanos) {
        long restraintNanos = owned.size() * RESTRAINT_NANOS;
        List<Integer> free = new ArrayList<>();
        for (int shard = 0; shard < environment.shardCount(); shard++) {
            Optional<Lease> holder = environment.leases().lastKnownLease(Duty.quotaShard(shard));
            boolean held = holder.isPresent()
                    && !holder.get().expiresAt().hasPassed(nowNanos)
                    && !holder.get().holder().equals(environment.self());
            if (held || owned.containsKey(shard)) {
                freeSinceNanos.remove(shard);
            } else if (nowNanos - freeSinceNanos.computeIfAbsent(shard, key -> nowNanos) >= restraintNanos) {
                free.add(shard);
            }
        }
        String name = environment.self().value();
        return free.stream().min(Comparator.comparingInt(shard -> QuotaShards.preferenceRank(name, shard)));
    }

    /**
     * Takes the outcome of asking for a lease.
     *
     * @param shard the shard
     * @param lease the lease, or empty if another VM holds it
     * @param askedAtNanos when it was asked for
     */
    private synchronized void update(int shard, Optional<Lease> lease, long askedAtNanos) {
        if (lease.isEmpty()) {
            if (owned.remove(shard) != null) {
                announce("quota-shard-lost", shard, 0);
            }
            return;
        }
        Owned current = owned.get(shard);
        if (current == null && closing) {
            environment.leases().release(lease.get());
            return;
        }
        if (current == null || current.lease.epoch() != lease.get().epoch()) {
            current = start(shard, lease.get());
            owned.put(shard, current);
        }
        current.lease = lease.get();
        current.lengthNanos = lease.get().expiresAt().remainingNanos(askedAtNanos);
    }

    /**
     * Starts to own a shard.
     *
     * @param shard the shard
     * @param lease the lease
     * @return the owned shard
     */
    private Owned start(int shard, Lease lease) {
        long nowNanos = environment.clock().nanoTime();
        HandOver handOver = handOvers.remove(shard);
        boolean direct = handOver != null && handOver.epoch() == lease.epoch() - 1;
        Map<String, Long> inherited = direct ? handOver.levels() : Map.of();
        Map<String, Workspace> workspaces = new HashMap<>();
        environment.configuration().current().workspaces().forEach((name, workspace) -> {
            if (QuotaShards.shardOf(name, environment.shardCount()) == shard) {
                workspaces.put(name, workspace);
            }
        });
        announce("quota-shard-acquired", shard, lease.epoch());
        return new Owned(new QuotaOwner(lease.epoch(), environment.settings(), workspaces, inherited, nowNanos));
    }

    /**
     * Answers a request for credit.
     *
     * @param request the request
     * @return the reply
     */
    synchronized CreditReply answer(CreditRequest request) {
        CreditReply refusal = CreditReply.withoutGrant(Status.NOT_OWNER, request.epoch(), request.sequence());
        Owned shard = owned.get(request.shard());
        Configuration configuration = environment.configuration().current();
        Workspace workspace = configuration.workspaces().get(request.workspace());
        long nowNanos = environment.clock().nanoTime();
        if (shard == null || workspace == null || !environment.configuration().isFresh(nowNanos)) {
            return refusal;
        }
        CreditReply reply = shard.owner.answer(request, workspace, shard.lease.expiresAt(), closing, nowNanos);
        boolean ended = shard.lease.expiresAt().hasPassed(environment.clock().nanoTime());
        return ended ? refusal : reply;
    }

    /**
     * Keeps the notice of a predecessor.
     *
     * @param handOver the notice
     */
    synchronized void acceptHandOver(HandOver handOver) {
        handOvers.merge(handOver.shard(), handOver, (kept, other) -> kept.epoch() >= other.epoch() ? kept : other);
    }

    /** Begins to give the duties back: no credit is granted any more. */
    synchronized void beginClosing() {
        closing = true;
    }

    /**
     * Gives back the shards without outstanding credit.
     *
     * @return the notices to the successors, to be sent before the leases in them are released
     */
    synchronized List<ReleasedShard> releaseSettledShards() {
        long nowNanos = environment.clock().nanoTime();
        List<ReleasedShard> released = new ArrayList<>();
        for (int shard : IntStream.range(0, environment.shardCount()).toArray()) {
            Owned current = owned.get(shard);
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
                announce("quota-shard-released", shard, lease.epoch());
                released.add(new ReleasedShard(lease, new HandOver(shard, lease.epoch(), levels)));
            });
        }
        return released;
    }

    /**
     * A shard that this VM owns no more.
     *
     * @param lease the lease to release
     * @param handOver the notice to the successor
     */
    record ReleasedShard(Lease lease, HandOver handOver) {}

    /**
     * Tells whether no shard is owned.
     *
     * @return {@code true} if none is
     */
    synchronized boolean isEmpty() {
        return owned.isEmpty();
    }

    /**
     * Records a change of ownership.
     *
     * @param name the event's name
     * @param shard the shard
     * @param epoch the epoch
     */
    private void announce(String name, int shard, long epoch) {
        environment.events().record(Event.named(name).with("shard", shard).with("epoch", epoch));
    }
}
