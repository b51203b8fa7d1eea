package org.borageproxy.quota;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Workspace;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;

/**
 * Enforces the workspaces' token rate limits over all VMs. This VM spends only credit granted by the owner of a
 * workspace's shard, and may itself own shards under a lease. Thread safe. A ledger's lock and the lock of the owned
 * shards are never held together. No future is completed and no message is sent under either of them, except that
 * {@link OwnedShards} releases a lease under its lock if the lease is granted only after closing has begun.
 */
public final class FleetQuota implements TokenQuota, AutoCloseable {

    /** Interval at which leases are checked and all ledgers are processed, in milliseconds. */
    private static final long TICK_INTERVAL_MILLIS = 50;

    /** Timeout of a request to an owner, in milliseconds. */
    private static final long REPLY_TIMEOUT_MILLIS = 400;

    /** Delay after which a caller may retry if no owner was reachable, in milliseconds. */
    private static final long UNREACHABLE_RETRY_MILLIS = 1_000;

    private final QuotaEnvironment environment;
    private final OwnedShards owned;

    /** Ledgers by workspace. */
    private final Map<String, GuardedLedger> ledgers = new ConcurrentHashMap<>();

    /** Whether credit and leases are being returned. */
    private final AtomicBoolean closing = new AtomicBoolean();

    /** Completes when all credit and leases are returned. */
    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    private ScheduledFuture<?> tickTask;

    /** A ledger with its next wake-up time; its monitor guards both. */
    private static final class GuardedLedger {

        private final CreditLedger ledger;

        /** Time of the earliest scheduled wake-up, or {@link Long#MAX_VALUE} if none is scheduled. */
        private long wakeUpAtNanos = Long.MAX_VALUE;

        GuardedLedger(CreditLedger ledger) {
            this.ledger = ledger;
        }
    }

    private FleetQuota(QuotaEnvironment environment) {
        this.environment = environment;
        this.owned = new OwnedShards(environment);
    }

    /**
     * Registers the message handler and starts the periodic task.
     *
     * @param environment the services of this VM
     * @return the running instance
     */
    public static FleetQuota start(QuotaEnvironment environment) {
        FleetQuota quota = new FleetQuota(environment);
        environment.network().registerHandler(MessageKind.QUOTA, (sender, body) -> quota.handleMessage(body));
        quota.tickTask = environment
                .timers()
                .scheduleWithFixedDelay(quota::tick, 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return quota;
    }

    @Override
    public CompletionStage<Decision> reserve(String workspace, long tokens, Deadline deadline) {
        Workspace limits = environment.configuration().current().workspaces().get(workspace);
        long nowNanos = environment.clock().nanoTime();
        if (limits == null) {
            return refused(ResultCode.KEY_REFUSED, nowNanos);
        }
        if (tokens > limits.burstTokens()) {
            return refused(ResultCode.TOO_MANY_TOKENS, nowNanos);
        }
        GuardedLedger guarded = ledgers.computeIfAbsent(workspace, name -> newLedger(limits, nowNanos));
        PendingReservation reservation = new PendingReservation(tokens, nowNanos, deadline, new CompletableFuture<>());
        Optional<CreditLedger.SpendStamp> stamp;
        synchronized (guarded) {
            guarded.ledger.updateWorkspace(limits);
            stamp = guarded.ledger.trySpend(tokens, nowNanos);
            if (stamp.isEmpty()) {
                guarded.ledger.enqueue(reservation);
            }
        }
        stamp.ifPresent(value -> reservation.decision().complete(reserved(guarded, tokens, value)));
        process(guarded);
        return reservation.decision();
    }

    private static CompletionStage<Decision> refused(ResultCode code, long nowNanos) {
        return CompletableFuture.completedFuture(new Decision.Refused(code, new Deadline(nowNanos)));
    }

    private GuardedLedger newLedger(Workspace workspace, long nowNanos) {
        int shard = QuotaShards.shardOf(workspace.name(), environment.shardCount());
        return new GuardedLedger(
                new CreditLedger(environment.session(), shard, workspace, environment.settings(), nowNanos));
    }

    private Decision reserved(GuardedLedger guarded, long tokens, CreditLedger.SpendStamp stamp) {
        AtomicBoolean settled = new AtomicBoolean();
        return new Decision.Reserved(new Reservation() {
            @Override
            public void settle(long usedTokens) {
                if (settled.compareAndSet(false, true)) {
                    refundUnused(guarded, stamp, tokens - Math.max(0, usedTokens));
                }
            }

            @Override
            public void refund() {
                settle(0);
            }
        });
    }

    /** Records the unused tokens of a reservation, to be refunded with the next report. */
    private void refundUnused(GuardedLedger guarded, CreditLedger.SpendStamp stamp, long tokens) {
        synchronized (guarded) {
            guarded.ledger.refund(stamp, tokens);
        }
        process(guarded);
    }

    /** Decides pending reservations, schedules the next wake-up and sends a request to the owner if one is due. */
    private void process(GuardedLedger guarded) {
        List<CreditLedger.DecidedReservation> decided;
        CreditLedger.SpendStamp stamp;
        Optional<CreditRequest> request = Optional.empty();
        Optional<Lease> ownerLease;
        synchronized (guarded) {
            long nowNanos = environment.clock().nanoTime();
            decided = guarded.ledger.decidePending(nowNanos);
            stamp = guarded.ledger.stamp();
            ownerLease = environment.leases().lastKnownLease(Duty.quotaShard(guarded.ledger.shard()));
            if (ownerLease.isPresent()) {
                request = guarded.ledger.nextRequest(ownerLease.get().epoch(), nowNanos);
            }
            scheduleWakeUp(guarded, nowNanos);
        }
        complete(guarded, decided, stamp);
        if (request.isPresent()) {
            sendRequest(guarded, ownerLease.get().holder(), request.get());
        }
    }

    /** Completes the futures of decided reservations. Called without the ledger's lock. */
    private void complete(
            GuardedLedger guarded, List<CreditLedger.DecidedReservation> decided, CreditLedger.SpendStamp stamp) {
        for (CreditLedger.DecidedReservation outcome : decided) {
            PendingReservation reservation = outcome.reservation();
            if (outcome.refusal().isPresent()) {
                reservation
                        .decision()
                        .complete(delayIfUnreachable(outcome.refusal().get()));
            } else {
                reservation.decision().complete(reserved(guarded, reservation.tokens(), stamp));
            }
        }
    }

    /**
     * Replaces the retry time of a refusal if no owner was reachable: the predicted time assumes a reachable owner, so
     * a fixed delay is used instead.
     */
    private Decision delayIfUnreachable(Decision.Refused refusal) {
        if (refusal.code() != ResultCode.QUOTA_OWNER_UNREACHABLE) {
            return refusal;
        }
        Duration later = Duration.ofMillis(UNREACHABLE_RETRY_MILLIS);
        return new Decision.Refused(
                refusal.code(), Deadline.after(environment.clock().nanoTime(), later));
    }

    /**
     * Schedules a wake-up at the ledger's next due time, unless an earlier one is already scheduled.
     *
     * @param guarded the ledger, whose lock the caller holds
     * @param nowNanos the current time of the clock
     */
    private void scheduleWakeUp(GuardedLedger guarded, long nowNanos) {
        Optional<Deadline> wakeAt = guarded.ledger.nextWakeUp(nowNanos);
        if (wakeAt.isEmpty() || environment.timers().isShutdown()) {
            return;
        }
        long atNanos = wakeAt.get().atNanos();
        if (guarded.wakeUpAtNanos != Long.MAX_VALUE && guarded.wakeUpAtNanos - atNanos <= 0) {
            return;
        }
        guarded.wakeUpAtNanos = atNanos;
        long delayNanos = Math.max(TimeUnit.MILLISECONDS.toNanos(1), atNanos - nowNanos);
        environment.timers().schedule(() -> onWakeUp(guarded, atNanos), delayNanos, TimeUnit.NANOSECONDS);
    }

    private void onWakeUp(GuardedLedger guarded, long atNanos) {
        synchronized (guarded) {
            if (guarded.wakeUpAtNanos == atNanos) {
                guarded.wakeUpAtNanos = Long.MAX_VALUE;
            }
        }
        process(guarded);
    }

    /** Sends a request to the owner, which may be this VM. */
    private void sendRequest(GuardedLedger guarded, VmName owner, CreditRequest request) {
        if (owner.equals(environment.self())) {
            environment.timers().execute(() -> handleReply(guarded, owned.answer(request)));
            return;
        }
        Deadline deadline = Deadline.after(environment.clock().nanoTime(), Duration.ofMillis(REPLY_TIMEOUT_MILLIS));
        environment
                .network()
                .request(owner, MessageKind.QUOTA, QuotaCodec.encode(request), deadline)
                .whenComplete((body, failure) -> {
                    if (failure == null) {
                        handleEncodedReply(guarded, body);
                    } else {
                        handleUnreachable(guarded, request);
                    }
                });
    }

    private void handleEncodedReply(GuardedLedger guarded, ByteString body) {
        try {
            handleReply(guarded, QuotaCodec.decodeReply(body));
        } catch (InvalidProtocolBufferException exception) {
            // The request stays open and is sent again.
            process(guarded);
        }
    }

    private void handleReply(GuardedLedger guarded, CreditReply reply) {
        List<CreditLedger.DecidedReservation> decided;
        CreditLedger.SpendStamp stamp;
        synchronized (guarded) {
            long nowNanos = environment.clock().nanoTime();
            decided = guarded.ledger.handleReply(reply, nowNanos);
            stamp = guarded.ledger.stamp();
        }
        complete(guarded, decided, stamp);
        process(guarded);
    }

    /** Schedules a resend after the owner did not reply in time. */
    private void handleUnreachable(GuardedLedger guarded, CreditRequest request) {
        synchronized (guarded) {
            guarded.ledger.rescheduleResend(
                    request.sequence(), environment.clock().nanoTime());
        }
        process(guarded);
    }

    /**
     * Handles a message of another VM: a request for credit or the hand-over of a shard.
     *
     * @param body the encoded message
     * @return the encoded reply, empty for a hand-over; fails if the message cannot be decoded
     */
    private CompletionStage<ByteString> handleMessage(ByteString body) {
        try {
            QuotaCodec.Message message = QuotaCodec.decode(body);
            if (message instanceof QuotaCodec.Message.CreditMessage credit) {
                return CompletableFuture.completedFuture(QuotaCodec.encode(owned.answer(credit.request())));
            }
            if (message instanceof QuotaCodec.Message.HandOverMessage received) {
                owned.acceptHandOver(received.handOver());
            }
            return CompletableFuture.completedFuture(ByteString.EMPTY);
        } catch (InvalidProtocolBufferException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private void tick() {
        if (environment.mayOwnShards()) {
            owned.renewAndAcquire();
        }
        if (closing.get()) {
            continueClosing(environment.clock().nanoTime());
        }
        for (GuardedLedger guarded : ledgers.values()) {
            process(guarded);
        }
    }

    /** Returns the credit and the leases that can be returned now, and completes the closing once none is left. */
    private void continueClosing(long nowNanos) {
        for (OwnedShards.ReleasedShard released : owned.releaseSettledShards()) {
            ByteString handOver = QuotaCodec.encode(released.handOver());
            environment.peers().get().forEach(peer -> environment.network().send(peer, MessageKind.QUOTA, handOver));
            environment.leases().release(released.lease());
        }
        boolean isEverythingReturned = owned.isEmpty();
        for (GuardedLedger guarded : ledgers.values()) {
            synchronized (guarded) {
                guarded.ledger.returnAllCredit();
                isEverythingReturned &= guarded.ledger.isIdle();
            }
        }
        if (isEverythingReturned) {
            tickTask.cancel(false);
            closed.complete(null);
        }
    }

    /**
     * Starts to return credit and leases. Until the returned stage completes, reservations still work, but each of them
     * has to wait for the owner.
     *
     * @return completes when all is returned, at the latest when all credit has expired
     */
    public CompletionStage<Void> closeAsync() {
        owned.beginClosing();
        closing.set(true);
        return closed;
    }

    @Override
    public void close() {
        closeAsync();
    }
}
