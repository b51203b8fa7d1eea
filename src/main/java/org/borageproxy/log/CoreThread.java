package org.borageproxy.log;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.event.Event;
import org.borageproxy.log.consensus.Consensus;
import org.borageproxy.log.consensus.Effect;
import org.borageproxy.log.consensus.Input;
import org.borageproxy.log.consensus.LogSettings;
import org.borageproxy.log.consensus.MemberChange;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.storage.LogStorage;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the consensus core and the state machine on one thread. The lease is withdrawn from {@link #isLeaseHeld()}
 * before any effect of its loss is executed, and published only after the entries committed before it have been
 * applied. Package-private methods are thread safe; the consensus core, the state machine and the pending requests are
 * used by the core thread only.
 */
final class CoreThread {

    private static final Logger LOGGER = LoggerFactory.getLogger(CoreThread.class);

    private static final int MAXIMUM_BATCH_INPUTS = 512;

    /** The queue length from which messages are dropped and proposals are refused. */
    private static final int MAXIMUM_QUEUED_TASKS = 20_000;

    private final LogSettings settings;

    private final MemberContext context;

    private final Consensus consensus;

    private final AppliedState applied;

    private final DiskWriter disk;

    private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();

    private final List<Input> inputs = new ArrayList<>();

    private final PendingEntries pending = new PendingEntries();

    private final Map<Long, CompletableFuture<Boolean>> reads = new HashMap<>();

    /**
     * The membership changes that are not in the log yet, by request id; kept to retry or complete a refused change.
     */
    private final Map<Long, PendingChange> changes = new HashMap<>();

    private final Timers timers = new Timers();

    /** Messages that wait until the write they require is durable, in the order in which they were emitted. */
    private final Deque<Effect.Send> deferredSends = new ArrayDeque<>();

    private final CompletableFuture<Throwable> failure = new CompletableFuture<>();

    private final Thread thread;

    private final MemberId self;

    private volatile boolean isRunning = true;

    /** The published end of the lease, or empty if this member holds none. */
    private volatile Optional<Deadline> lease = Optional.empty();

    /** The status published to other threads after each batch. */
    private volatile MemberStatus status;

    private long durableWriteNumber;

    private long snapshotIndex;

    private long lastRequestId;

    /**
     * Creates the threads of a member without starting them.
     *
     * @param storage the storage of the member's log and state
     * @param settings the timing, batching and storage settings
     * @param context the environment of the member
     * @param applied the state machine, which may have applied entries for an earlier core thread
     * @param seed the seed of the random election timeouts
     */
    CoreThread(LogStorage storage, LogSettings settings, MemberContext context, AppliedState applied, long seed) {
        this.settings = settings;
        this.context = context;
        this.applied = applied;
        this.self = storage.restoredState().self();
        this.consensus = new Consensus(
                storage.restoredState(),
                settings,
                new Random(seed),
                context.clock().nanoTime());
        this.applied.beginReplay();
        this.disk = new DiskWriter(storage, "log-disk-" + self.name(), this::onSynced, this::fail);
        this.thread = new Thread(this::run, "log-core-" + self.name());
        this.thread.setDaemon(true);
        this.status = currentStatus();
    }

    /** Starts the core thread and the disk thread, and registers with the network. */
    void start() {
        disk.start();
        thread.start();
        context.network().registerHandler(MessageKind.LOG, this::onMessage);
    }

    /**
     * Queues a message. A message whose sender does not match the sending VM is dropped, as are messages that arrive
     * while the queue is full. Called by network threads.
     *
     * @return an empty answer
     */
    private CompletionStage<ByteString> onMessage(VmName sender, ByteString body) {
        try {
            LogMessage message = LogMessage.parseFrom(body);
            boolean isSenderGenuine = message.getSender().getName().equals(sender.value());
            if (isSenderGenuine && isRunning && tasks.size() < MAXIMUM_QUEUED_TASKS) {
                tasks.add(() -> inputs.add(new Input.Receive(message)));
            }
        } catch (InvalidProtocolBufferException exception) {
            LOGGER.warn("event=log-message-malformed sender={}", sender);
        }
        return CompletableFuture.completedFuture(ByteString.EMPTY);
    }

    /**
     * Queues the notification that writes are durable. Called by the disk thread.
     *
     * @param writeNumber the number of the last durable write
     */
    private void onSynced(long writeNumber) {
        tasks.add(() -> {
            durableWriteNumber = writeNumber;
            inputs.add(new Input.Synced(writeNumber));
        });
    }

    /** Stops both threads. Called by the core thread or the disk thread. */
    private void fail(Throwable exception) {
        isRunning = false;
        lease = Optional.empty();
        LOGGER.error("event=log-member-failed member={} reason=\"{}\"", self, exception.toString(), exception);
        context.events()
                .record(Event.named("log-member-failed").with("member", self).with("reason", exception));
        failure.complete(exception);
        wake();
    }

    /**
     * Queues a proposal. The outcome is {@code NotLeader} if the member has stopped, the queue is full or the deadline
     * passes before the proposal is handled, and {@code Unknown} if the deadline passes later.
     *
     * @param command the encoded command
     * @param deadline the time after which the outcome is reported as unknown
     * @param outcome completed with the outcome
     */
    void propose(ByteString command, Deadline deadline, CompletableFuture<ReplicatedLog.ProposalOutcome> outcome) {
        boolean isAccepted = tasks.size() < MAXIMUM_QUEUED_TASKS
                && submit(() -> {
                    if (deadline.hasPassed(context.clock().nanoTime())) {
                        outcome.complete(new ReplicatedLog.ProposalOutcome.NotLeader(leaderName()));
                        return;
                    }
                    lastRequestId++;
                    pending.add(lastRequestId, new PendingProposal(outcome, this::leaderName));
                    timers.schedule(deadline, () -> outcome.complete(new ReplicatedLog.ProposalOutcome.Unknown()));
                    inputs.add(new Input.Propose(
                            lastRequestId, context.wallClockMillis().getAsLong(), command));
                });
        if (!isAccepted) {
            outcome.complete(new ReplicatedLog.ProposalOutcome.NotLeader(leaderName()));
        }
    }

    /**
     * Queues a request to confirm that the local state is current.
     *
     * @param deadline the time after which the read counts as unconfirmed
     * @param outcome completed with {@code true} once the local state is current, {@code false} at the deadline or if
     *     the member has stopped
     */
    void confirmRead(Deadline deadline, CompletableFuture<Boolean> outcome) {
        boolean isAccepted = submit(() -> {
            lastRequestId++;
            long id = lastRequestId;
            reads.put(id, outcome);
            timers.schedule(deadline, () -> {
                reads.remove(id);
                outcome.complete(false);
            });
            inputs.add(new Input.ConfirmRead(id));
        });
        if (!isAccepted) {
            outcome.complete(false);
        }
    }

    /**
     * Queues a membership change. It is retried until the deadline while an earlier change is uncommitted or the
     * learner is catching up.
     *
     * @param change the change
     * @param deadline the time after which the outcome is reported as unknown
     * @param outcome completed with the outcome
     */
    void changeMembers(MemberChange change, Deadline deadline, CompletableFuture<ChangeOutcome> outcome) {
        boolean isAccepted = submit(() -> {
            lastRequestId++;
            PendingChange waiter = new PendingChange(change, deadline, outcome);
            pending.add(lastRequestId, waiter);
            changes.put(lastRequestId, waiter);
            timers.schedule(deadline, () -> outcome.complete(new ChangeOutcome.Unknown()));
            inputs.add(new Input.ChangeMembers(
                    lastRequestId, context.wallClockMillis().getAsLong(), change));
        });
        if (!isAccepted) {
            outcome.complete(new ChangeOutcome.Refused(MemberChange.Refusal.NOT_LEADER));
        }
    }

    /** Transfers leadership to another voter; has no effect if this member is not the leader. */
    void transferLeadership() {
        submit(() -> inputs.add(Input.TransferLeadership.INSTANCE));
    }

    /**
     * Queues a task for the core thread. The second check of {@code isRunning} covers a member that stops in between:
     * the task is then withdrawn, or {@link #abandonRequests()} has already run it.
     *
     * @return {@code false} if the member has stopped and the task will not run
     */
    private boolean submit(Runnable task) {
        if (!isRunning) {
            return false;
        }
        tasks.add(task);
        return isRunning || !tasks.remove(task);
    }

    /** Unblocks the core thread with an empty task, so that it sees that the member stops. */
    private void wake() {
        tasks.add(() -> {});
    }

    private void run() {
        try {
            while (isRunning) {
                gatherInputs();
                step();
            }
        } catch (InterruptedException exception) {
            LOGGER.debug("event=log-core-interrupted member={}", self);
        } catch (RuntimeException | Error exception) {
            fail(exception);
        } finally {
            isRunning = false;
            lease = Optional.empty();
            status = status.afterStop();
            abandonRequests();
        }
    }

    /**
     * Waits for tasks until the next timer or consensus deadline, then runs up to one batch of them.
     *
     * @throws InterruptedException if the core thread is interrupted
     */
    private void gatherInputs() throws InterruptedException {
        Deadline nextDeadline = timers.earliest(consensus.wakeDeadline());
        long waitNanos = nextDeadline.remainingNanos(context.clock().nanoTime());
        Runnable task = inputs.isEmpty() ? tasks.poll(waitNanos, TimeUnit.NANOSECONDS) : tasks.poll();
        while (task != null) {
            task.run();
            task = inputs.size() < MAXIMUM_BATCH_INPUTS ? tasks.poll() : null;
        }
        timers.runDue(context.clock().nanoTime());
    }

    private void step() {
        List<Input> batch = List.copyOf(inputs);
        inputs.clear();
        List<Effect> effects = consensus.handle(context.clock().nanoTime(), batch);
        Optional<Deadline> newLease = consensus.leaseDeadline();
        if (newLease.isEmpty()) {
            lease = Optional.empty();
        }
        sendDeferred();
        effects.forEach(this::execute);
        status = currentStatus();
        if (isRunning) {
            lease = newLease;
        }
        takeSnapshotIfDue();
    }

    private void sendDeferred() {
        while (!deferredSends.isEmpty() && deferredSends.peek().requiredWrite() <= durableWriteNumber) {
            transmit(deferredSends.remove());
        }
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Send send) {
            send(send);
        } else if (effect instanceof Effect.Persist persist) {
            disk.add(persist);
        } else if (effect instanceof Effect.Apply apply) {
            apply(apply.entry());
        } else if (effect instanceof Effect.Restore restore) {
            applied.restore(restore.snapshot());
            snapshotIndex = restore.snapshot().getIndex();
            pending.onSnapshotRestored(snapshotIndex);
        } else if (effect instanceof Effect.Appended appended) {
            pending.onAppended(appended);
            changes.remove(appended.id());
        } else if (effect instanceof Effect.ProposalRefused refused) {
            pending.remove(refused.id()).onNotApplied();
        } else if (effect instanceof Effect.ChangeRefused refused) {
            onChangeRefused(refused);
        } else if (effect instanceof Effect.ReadConfirmed confirmed) {
            onReadConfirmed(confirmed.id());
        } else if (effect instanceof Effect.RoleChanged changed) {
            recordRoleChange(changed);
        }
    }

    private void send(Effect.Send send) {
        if (send.requiredWrite() > durableWriteNumber) {
            deferredSends.add(send);
        } else {
            transmit(send);
        }
    }

    private void transmit(Effect.Send send) {
        context.network()
                .send(send.recipient().name(), MessageKind.LOG, send.message().toByteString());
    }

    private void apply(Entry entry) {
        pending.onApplied(entry, applied.apply(entry));
    }

    /**
     * Retries a change that was refused for a transient reason after one heartbeat interval, unless the deadline passes
     * first; completes it as refused otherwise.
     */
    private void onChangeRefused(Effect.ChangeRefused refused) {
        pending.remove(refused.id());
        PendingChange change = changes.remove(refused.id());
        boolean isTransient = refused.refusal() == MemberChange.Refusal.CHANGE_IN_PROGRESS
                || refused.refusal() == MemberChange.Refusal.NOT_CAUGHT_UP;
        Deadline retry = Deadline.after(context.clock().nanoTime(), settings.heartbeatInterval());
        if (isTransient && retry.compareTo(change.deadline()) < 0) {
            timers.schedule(retry, () -> changeMembers(change.change(), change.deadline(), change.outcome()));
        } else {
            change.outcome().complete(new ChangeOutcome.Refused(refused.refusal()));
        }
    }

    private void onReadConfirmed(long id) {
        CompletableFuture<Boolean> read = reads.remove(id);
        if (read != null) {
            read.complete(true);
        }
    }

    private void recordRoleChange(Effect.RoleChanged changed) {
        String leader = changed.leader().map(Object::toString).orElse("none");
        context.events()
                .record(Event.named("log-role-changed")
                        .with("member", self)
                        .with("role", changed.role())
                        .with("term", changed.term())
                        .with("leader", leader));
    }

    /** Encodes the state machine once enough entries have been applied since the last snapshot. */
    private void takeSnapshotIfDue() {
        boolean isReplaying = applied.index() > consensus.commitIndex();
        if (!isReplaying && applied.index() - snapshotIndex >= settings.snapshotThresholdEntries()) {
            snapshotIndex = applied.index();
            inputs.add(new Input.SnapshotTaken(snapshotIndex, applied.snapshot()));
        }
    }

    /**
     * Completes the outcomes of all requests when the member stops: proposals and changes as unknown, reads as
     * unconfirmed.
     */
    private void abandonRequests() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        pending.abandonAll();
        reads.values().forEach(read -> read.complete(false));
        reads.clear();
    }

    private Optional<VmName> leaderName() {
        return status.leader().map(leader -> leader.name());
    }

    private MemberStatus currentStatus() {
        return new MemberStatus(
                self,
                consensus.role(),
                consensus.term(),
                consensus.commitIndex(),
                consensus.leader(),
                consensus.members(),
                consensus.responsiveMembers(),
                consensus.upToDateMembers());
    }

    /** Returns whether this member leads and its lease has not expired. */
    boolean isLeaseHeld() {
        Optional<Deadline> publishedLease = lease;
        return publishedLease.isPresent()
                && !publishedLease.get().hasPassed(context.clock().nanoTime());
    }

    MemberStatus status() {
        return status;
    }

    boolean isRunning() {
        return isRunning;
    }

    /**
     * Returns a stage that completes with the failure that stopped the threads; it stays incomplete after a normal
     * close.
     */
    CompletionStage<Throwable> failure() {
        return failure;
    }

    /**
     * Stops both threads and closes the storage.
     *
     * @throws IOException if the storage cannot be closed; the call can be repeated
     */
    void close() throws IOException {
        isRunning = false;
        wake();
        try {
            thread.join();
            disk.close();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
