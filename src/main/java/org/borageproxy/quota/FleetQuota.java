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
 * Reserves tokens of workspaces over all VMs: this VM spends only credit that the leased owner of a workspace granted
 * it, and owns some of the shards itself. Thread safe. Lock order: a ledger's lock and the table of owned shards are
 * never held together, and no future is completed and no message sent under either.
 */
public final class FleetQuota implements TokenQuota, AutoCloseable {

    /** How often leases and ledgers at rest are looked at, in milliseconds. */
    private static final long TICK_MILLIS = 50;

    /** How long an owner may take to answer, in milliseconds. */
    private static final long ANSWER_MILLIS = 400;

    /** When to come back if no owner is reachable, in milliseconds. */
    private static final long OWNER_RETRY_MILLIS = 1_000;

    /** The surroundings of this VM. */
    private final QuotaEnvironment environment;

    /** The shards that this VM owns. */
    private final OwnedShards owned;

    /** The ledgers by workspace. */
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();

    /** Whether this VM gives its credit and duties back. */
    private final AtomicBoolean closing = new AtomicBoolean();

    /** Completes once all is given back. */
    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    /** The recurring task. */
    private ScheduledFuture<?> ticks;

    /** A ledger, which guards itself by its lock, and when it is looked at next. */
    private static final class Entry {

        /** The ledger. */
        private final CreditLedger ledger;

        /** When a task looks at the ledger, or the largest value if none does. */
        private long wakesAtNanos = Long.MAX_VALUE;

        /**
         * Creates an entry.
         *
         * @param ledger the ledger
         */
        Entry(CreditLedger ledger) {
            this.ledger = ledger;
        }
    }

    /**
     * Creates quotas that do nothing yet.
     *
     * @param environment the surroundings of this VM
     */
    private FleetQuota(QuotaEnvironment environment) {
        this.environment = environment;
        this.owned = new OwnedShards(environment);
    }

    /**
     * Starts quotas on this VM.
     *
     * @param environment the surroundings of this VM
     * @return the running quotas
     */
    public static FleetQuota start(QuotaEnvironment environment) {
        FleetQuota quota = new FleetQuota(environment);
        environment.network().handle(MessageKind.QUOTA, (sender, body) -> quota.handle(body));
        quota.ticks = environment.timers().scheduleWithFixedDelay(quota::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
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
        Entry entry = entries.computeIfAbsent(workspace, name -> newEntry(limits, nowNanos));
        PendingReservation waiter = new PendingReservation(tokens, nowNanos, deadline, new CompletableFuture<>());
        Optional<CreditLedger.SpendStamp> stamp;
        synchronized (entry) {
            entry.ledger.updateWorkspace(limits);
            stamp = entry.ledger.trySpend(tokens, nowNanos);
            if (stamp.isEmpty()) {
                entry.ledger.enqueue(waiter);
            }
        }
        stamp.ifPresent(value -> waiter.decision().complete(reserved(entry, tokens, value)));
        pump(entry);
        return waiter.decision();
    }

    /**
     * Returns a refusal.
     *
     * @param code why
     * @param nowNanos the time now
     * @return the decision
     */
    private static CompletionStage<Decision> refused(ResultCode code, long nowNanos) {
        return CompletableFuture.completedFuture(new Decision.Refused(code, new Deadline(nowNanos)));
    }

    /**
     * Creates the ledger of a workspace.
     *
     * @param limits the workspace's settings
     * @param nowNanos the time now
     * @return the ledger
     */
    private Entry newEntry(Workspace limits, long nowNanos) {
        int shard = QuotaShards.shardOf(limits.name(), environment.shardCount());
        return new Entry(new CreditLedger(environment.session(), shard, limits, environment.settings(), nowNanos));
    }

    /**
     * Returns the decision on tokens that were spent.
     *
     * @param entry the ledger
     * @param tokens the tokens
     * @param stamp when they were reserved
     * @return the decision
     */
    private Decision reserved(Entry entry, long tokens, CreditLedger.SpendStamp stamp) {
        AtomicBoolean settled = new AtomicBoolean();
        return new Decision.Reserved(new Reservation() {
            @Override
            public void settle(long usedTokens) {
                if (settled.compareAndSet(false, true)) {
                    giveBack(entry, stamp, tokens - Math.max(0, usedTokens));
                }
            }

            @Override
            public void refund() {
                settle(0);
            }
        });
    }

    /**
     * Gives tokens back that a reservation did not use.
     *
     * @param entry the ledger
     * @param stamp when they were reserved
     * @param tokens the tokens
     */
    private void giveBack(Entry entry, CreditLedger.SpendStamp stamp, long tokens) {
        synchronized (entry) {
            entry.ledger.refund(stamp, tokens);
        }
        pump(entry);
    }

    /**
     * Decides what can be decided, asks the owner what is to be asked, and arranges the next look.
     *
     * @param entry the ledger
     */
    private void pump(Entry entry) {
        List<CreditLedger.DecidedReservation> decided;
        CreditLedger.SpendStamp stamp;
        Optional<CreditRequest> request = Optional.empty();
        Optional<Lease> holder;
        synchronized (entry) {
            long nowNanos = environment.clock().nanoTime();
            decided = entry.ledger.decidePending(nowNanos);
            stamp = entry.ledger.stamp();
            holder = environment.leases().lastKnownLease(Duty.quotaShard(entry.ledger.shard()));
            if (holder.isPresent()) {
                request = entry.ledger.nextRequest(holder.get().epoch(), nowNanos);
            }
            arrange(entry, nowNanos);
        }
        complete(entry, decided, stamp);
        if (request.isPresent()) {
            send(entry, holder.get().holder(), request.get());
        }
    }

    /**
     * Completes decided reservations.
     *
     * @param entry the ledger
     * @param decided the reservations
     * @param stamp when they were reserved
     */
    private void complete(Entry entry, List<CreditLedger.DecidedReservation> decided, CreditLedger.SpendStamp stamp) {
        for (CreditLedger.DecidedReservation each : decided) {
            PendingReservation waiter = each.waiter();
            if (each.refusal().isPresent()) {
                waiter.decision().complete(laterIfUnreachable(each.refusal().get()));
            } else {
                waiter.decision().complete(reserved(entry, waiter.tokens(), stamp));
            }
        }
    }

    /**
     * Moves the time to come back of a refusal without an owner past the next change of owners.
     *
     * @param refusal the refusal
     * @return the refusal with the time
     */
    private Decision laterIfUnreachable(Decision.Refused refusal) {
        if (refusal.code() != ResultCode.QUOTA_OWNER_UNREACHABLE) {
            return refusal;
        }
        Duration later = Duration.ofMillis(OWNER_RETRY_MILLIS);
        return new Decision.Refused(
                refusal.code(), Deadline.after(environment.clock().nanoTime(), later));
    }

    /**
     * Arranges that the ledger is looked at when something may be due.
     *
     * @param entry the ledger, whose lock is held
     * @param nowNanos the time now
     */
    private void arrange(Entry entry, long nowNanos) {
        Optional<Deadline> wakeAt = entry.ledger.nextWakeUp(nowNanos);
        if (wakeAt.isEmpty() || environment.timers().isShutdown()) {
            return;
        }
        long atNanos = wakeAt.get().atNanos();
        if (entry.wakesAtNanos != Long.MAX_VALUE && entry.wakesAtNanos - atNanos <= 0) {
            return;
        }
        entry.wakesAtNanos = atNanos;
        long delayNanos = Math.max(TimeUnit.MILLISECONDS.toNanos(1), atNanos - nowNanos);
        environment.timers().schedule(() -> wake(entry, atNanos), delayNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Looks at a ledger as arranged.
     *
     * @param entry the ledger
     * @param atNanos the moment for which the task was arranged
     */
    private void wake(Entry entry, long atNanos) {
        synchronized (entry) {
            if (entry.wakesAtNanos == atNanos) {
                entry.wakesAtNanos = Long.MAX_VALUE;
            }
        }
        pump(entry);
    }

    /**
     * Sends a request to an owner, which may be this VM.
     *
     * @param entry the ledger
     * @param owner the owner
     * @param request the request
     */
    private void send(Entry entry, VmName owner, CreditRequest request) {
        if (owner.equals(environment.self())) {
            environment.timers().execute(() -> accept(entry, owned.answer(request)));
            return;
        }
        Deadline deadline = Deadline.after(environment.clock().nanoTime(), Duration.ofMillis(ANSWER_MILLIS));
        environment
                .network()
                .request(owner, MessageKind.QUOTA, QuotaCodec.encode(request), deadline)
                .whenComplete((body, failure) -> {
                    if (failure == null) {
                        acceptEncoded(entry, body);
                    } else {
                        unreachable(entry, request);
                    }
                });
    }

    /**
     * Takes an encoded answer.
     *
     * @param entry the ledger
     * @param body the encoded answer
     */
    private void acceptEncoded(Entry entry, ByteString body) {
        try {
            accept(entry, QuotaCodec.decodeReply(body));
        } catch (InvalidProtocolBufferException exception) {
            // The request stays open and is sent again.
            pump(entry);
        }
    }

    /**
     * Takes an answer.
     *
     * @param entry the ledger
     * @param reply the answer
     */
    private void accept(Entry entry, CreditReply reply) {
        List<CreditLedger.DecidedReservation> decided;
        CreditLedger.SpendStamp stamp;
        synchronized (entry) {
            long nowNanos = environment.clock().nanoTime();
            decided = entry.ledger.handleReply(reply, nowNanos);
            stamp = entry.ledger.stamp();
        }
        complete(entry, decided, stamp);
        pump(entry);
    }

    /**
     * Notes that an owner could not be reached.
     *
     * @param entry the ledger
     * @param request the request without an answer
     */
    private void unreachable(Entry entry, CreditRequest request) {
        synchronized (entry) {
            entry.ledger.rescheduleResend(
                    request.sequence(), environment.clock().nanoTime());
        }
        pump(entry);
    }

    /**
     * Handles a message of another VM.
     *
     * @param body the encoded message
     * @return the encoded answer
     */
    private CompletionStage<ByteString> handle(ByteString body) {
        try {
            QuotaCodec.Message message = QuotaCodec.decode(body);
            if (message instanceof QuotaCodec.Message.CreditMessage credit) {
                return CompletableFuture.completedFuture(QuotaCodec.encode(owned.answer(credit.request())));
            }
            if (message instanceof QuotaCodec.Message.HandOverMessage note) {
                owned.acceptHandOver(note.handOver());
            }
            return CompletableFuture.completedFuture(ByteString.EMPTY);
        } catch (InvalidProtocolBufferException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    /** Looks after leases and ledgers. */
    private void tick() {
        if (environment.mayOwnShards()) {
            owned.renewAndAcquire();
        }
        if (closing.get()) {
            close(environment.clock().nanoTime());
        }
        for (Entry entry : entries.values()) {
            pump(entry);
        }
    }

    /**
     * Gives back what can be given back now, and ends once nothing is left.
     *
     * @param nowNanos the time now
     */
    private void close(long nowNanos) {
        for (OwnedShards.ReleasedShard released : owned.releaseSettledShards()) {
            ByteString notice = QuotaCodec.encode(released.handOver());
            environment.peers().get().forEach(peer -> environment.network().send(peer, MessageKind.QUOTA, notice));
            environment.leases().release(released.lease());
        }
        boolean rest = owned.isEmpty();
        for (Entry entry : entries.values()) {
            synchronized (entry) {
                entry.ledger.returnAllCredit();
                rest &= entry.ledger.isIdle();
            }
        }
        if (rest) {
            ticks.cancel(false);
            closed.complete(null);
        }
    }

    /**
     * Gives credit and duties back. Reservations still work, but slowly, until all is given back.
     *
     * @return completes once all is given back, at the latest once all credit has expired
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
