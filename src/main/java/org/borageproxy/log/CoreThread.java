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
 * Runs the consensus core and the state machine on one thread. The lease is withdrawn from view before any effect of
 * its loss, and shown only after the entries before it are applied. Public methods are safe for use by any thread; the
 * others run on the core thread.
 */
final class CoreThread {

    /** The logger. */
    private static final Logger LOGGER = LoggerFactory.getLogger(CoreThread.class);

    /** The most inputs handled together. */
    private static final int BATCH_INPUTS = 512;

    /** The most inputs that wait; further messages are dropped and proposals refused. */
    private static final int QUEUE_INPUTS = 20_000;

    /** The bounds. */
    private final LogSettings settings;

    /** What the member works with. */
    private final MemberContext context;

    /** The core. */
    private final Consensus consensus;

    /** The disk. */
    private final DiskWriter disk;

    /** What other threads want done on the core thread. */
    private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();

    /** The inputs for the next batch. */
    private final List<Input> inputs = new ArrayList<>();

    /** The callers that wait for entries. */
    private final PendingEntries pending = new PendingEntries();

    /** The callers that wait for reads, by number. */
    private final Map<Long, CompletableFuture<Boolean>> reads = new HashMap<>();

    /** The callers that wait for a change, by number, to be told of a refusal. */
    private final Map<Long, PendingChange> changes = new HashMap<>();

    /** The deadlines of callers. */
    private final Timers timers = new Timers();

    /** The messages that wait for the disk. */
    private final Deque<Effect.Send> held = new ArrayDeque<>();

    /** Completes with the failure that stopped the member. */
    private final CompletableFuture<Exception> failure = new CompletableFuture<>();

    /** The thread. */
    private final Thread thread;

    /** The identity of this member. */
    private final MemberId self;

    /** Whether the thread goes on. */
    private volatile boolean running = true;

    /** The end of the lease, or empty if none is held. */
    private volatile Optional<Deadline> lease = Optional.empty();

    /** What other threads see of the member. */
    private volatile MemberStatus status;

    /** The last durable ticket. */
    private long durableTicket;

    /** The last applied index. */
    private long applied;

    /** The index of the last snapshot. */
    private long snapshotIndex;

    /** The last number given to a caller. */
    private long lastId;

    /**
     * Creates the thread of a member.
     *
     * @param storage what the member must not forget
     * @param settings the bounds
     * @param context what the member works with
     * @param seed the seed of election timeouts
     */
    CoreThread(LogStorage storage, LogSettings settings, MemberContext context, long seed) {
        this.settings = settings;
        this.context = context;
        this.self = storage.restoredState().self();
        this.consensus = new Consensus(
                storage.restoredState(),
                settings,
                new Random(seed),
                context.clock().nanoTime());
        this.disk = new DiskWriter(storage, "log-disk-" + self.name(), this::onSynced, this::fail);
        this.thread = new Thread(this::run, "log-core-" + self.name());
        this.thread.setDaemon(true);
        this.status = currentStatus();
    }

    /** Starts both threads and takes messages. */
    void start() {
        disk.start();
        thread.start();
        context.network().handle(MessageKind.LOG, this::onMessage);
    }

    /**
     * Takes a message from the network.
     *
     * @param sender the VM that sent it
     * @param body the encoded message
     * @return an empty answer
     */
    private CompletionStage<ByteString> onMessage(VmName sender, ByteString body) {
        try {
            LogMessage message = LogMessage.parseFrom(body);
            boolean genuine = message.getSender().getName().equals(sender.value());
            if (genuine && running && tasks.size() < QUEUE_INPUTS) {
                tasks.add(() -> inputs.add(new Input.Receive(message)));
            }
        } catch (InvalidProtocolBufferException exception) {
            LOGGER.warn("event=log-message-malformed sender={}", sender);
        }
        return CompletableFuture.completedFuture(ByteString.EMPTY);
    }

    /**
     * Takes the report of the disk.
     *
     * @param ticket the last durable ticket
     */
    private void onSynced(long ticket) {
        tasks.add(() -> {
            durableTicket = ticket;
            inputs.add(new Input.Synced(ticket));
        });
    }

    /**
     * Stops the member for good.
     *
     * @param exception the failure
     */
    private void fail(Exception exception) {
        running = false;
        lease = Optional.empty();
        LOGGER.error("event=log-member-failed member={} reason=\"{}\"", self, exception.toString(), exception);
        context.events()
                .record(Event.named("log-member-failed").with("member", self).with("reason", exception));
        failure.complete(exception);
        wake();
    }

    /**
     * Takes a proposal.
     *
     * @param command the encoded command
     * @param deadline when to give up
     * @param outcome takes the outcome
     */
    void propose(ByteString command, Deadline deadline, CompletableFuture<ReplicatedLog.ProposalOutcome> outcome) {
        boolean accepted = tasks.size() < QUEUE_INPUTS
                && submit(() -> {
                    if (deadline.hasPassed(context.clock().nanoTime())) {
                        outcome.complete(new ReplicatedLog.ProposalOutcome.NotLeader(leaderName()));
                        return;
                    }
                    lastId++;
                    pending.add(lastId, new PendingProposal(outcome, this::leaderName));
                    timers.schedule(deadline, () -> outcome.complete(new ReplicatedLog.ProposalOutcome.Unknown()));
                    inputs.add(
                            new Input.Propose(lastId, context.wallClockMillis().getAsLong(), command));
                });
        if (!accepted) {
            outcome.complete(new ReplicatedLog.ProposalOutcome.NotLeader(leaderName()));
        }
    }

    /**
     * Takes a read.
     *
     * @param deadline when to give up
     * @param outcome takes whether the local state is current
     */
    void confirmRead(Deadline deadline, CompletableFuture<Boolean> outcome) {
        boolean accepted = submit(() -> {
            lastId++;
            long id = lastId;
            reads.put(id, outcome);
            timers.schedule(deadline, () -> {
                reads.remove(id);
                outcome.complete(false);
            });
            inputs.add(new Input.ConfirmRead(id));
        });
        if (!accepted) {
            outcome.complete(false);
        }
    }

    /**
     * Takes a change of members.
     *
     * @param change the change
     * @param deadline when to give up
     * @param outcome takes the outcome
     */
    void changeMembers(MemberChange change, Deadline deadline, CompletableFuture<ChangeOutcome> outcome) {
        boolean accepted = submit(() -> {
            lastId++;
            PendingChange waiter = new PendingChange(change, deadline, outcome);
            pending.add(lastId, waiter);
            changes.put(lastId, waiter);
            timers.schedule(deadline, () -> outcome.complete(new ChangeOutcome.Unknown()));
            inputs.add(new Input.ChangeMembers(lastId, context.wallClockMillis().getAsLong(), change));
        });
        if (!accepted) {
            outcome.complete(new ChangeOutcome.Refused(MemberChange.Refusal.NOT_LEADER));
        }
    }

    /** Hands leadership over, if this member leads. */
    void transferLeadership() {
        submit(() -> inputs.add(Input.TransferLeadership.INSTANCE));
    }

    /**
     * Adds a task for the core thread.
     *
     * @param task the task
     * @return {@code false} if the member has stopped
     */
    private boolean submit(Runnable task) {
        if (!running) {
            return false;
        }
        tasks.add(task);
        return running || !tasks.remove(task);
    }

    /** Lets the core thread look around. */
    private void wake() {
        tasks.add(() -> {});
    }

    /** Handles inputs until the member is closed or fails. */
    private void run() {
        try {
            while (running) {
                gatherInputs();
                step();
            }
        } catch (InterruptedException exception) {
            LOGGER.debug("event=log-core-interrupted member={}", self);
        } catch (RuntimeException exception) {
            fail(exception);
        } finally {
            running = false;
            lease = Optional.empty();
            abandon();
        }
    }

    /**
     * Waits for tasks or the next deadline.
     *
     * @throws InterruptedException if the member is closed
     */
    private void gatherInputs() throws InterruptedException {
        Deadline wake = timers.earliest(consensus.wakeDeadline());
        long wait = wake.remainingNanos(context.clock().nanoTime());
        Runnable task = inputs.isEmpty() ? tasks.poll(wait, TimeUnit.NANOSECONDS) : tasks.poll();
        while (task != null) {
            task.run();
            task = inputs.size() < BATCH_INPUTS ? tasks.poll() : null;
        }
        timers.runDue(context.clock().nanoTime());
    }

    /** Handles one batch of inputs. */
    private void step() {
        List<Input> batch = List.copyOf(inputs);
        inputs.clear();
        List<Effect> effects = consensus.handle(context.clock().nanoTime(), batch);
        Optional<Deadline> newLease = consensus.leaseDeadline();
        if (newLease.isEmpty()) {
            lease = Optional.empty();
        }
        releaseHeld();
        effects.forEach(this::execute);
        status = currentStatus();
        if (running) {
            lease = newLease;
        }
        takeSnapshotIfDue();
    }

    /** Sends the messages whose writes became durable. */
    private void releaseHeld() {
        while (!held.isEmpty() && held.peek().requiredWrite() <= durableTicket) {
            transmit(held.remove());
        }
    }

    /**
     * Executes one effect.
     *
     * @param effect the effect
     */
    private void execute(Effect effect) {
        if (effect instanceof Effect.Send send) {
            send(send);
        } else if (effect instanceof Effect.Persist persist) {
            disk.add(persist);
        } else if (effect instanceof Effect.Apply apply) {
            apply(apply.entry());
        } else if (effect instanceof Effect.Restore restore) {
            context.stateMachine().restore(restore.snapshot().getState());
            applied = restore.snapshot().getIndex();
            snapshotIndex = applied;
            pending.onSnapshotRestored(applied);
        } else if (effect instanceof Effect.Appended appended) {
            pending.appended(appended);
            changes.remove(appended.id());
        } else if (effect instanceof Effect.ProposalRefused refused) {
            pending.remove(refused.id()).onOverwritten();
        } else if (effect instanceof Effect.ChangeRefused refused) {
            onChangeRefused(refused);
        } else if (effect instanceof Effect.ReadConfirmed confirmed) {
            onReadConfirmed(confirmed.id());
        } else if (effect instanceof Effect.RoleChanged changed) {
            report(changed);
        }
    }

    /**
     * Sends a message now, or holds it until its write is durable.
     *
     * @param send the message
     */
    private void send(Effect.Send send) {
        if (send.requiredWrite() > durableTicket) {
            held.add(send);
        } else {
            transmit(send);
        }
    }

    /**
     * Gives a message to the network.
     *
     * @param send the message
     */
    private void transmit(Effect.Send send) {
        context.network()
                .send(send.recipient().name(), MessageKind.LOG, send.message().toByteString());
    }

    /**
     * Applies an entry and answers its caller.
     *
     * @param entry the entry
     */
    private void apply(Entry entry) {
        applied = entry.getIndex();
        ByteString reply = ByteString.EMPTY;
        if (entry.getKind() == Entry.Kind.COMMAND) {
            reply = context.stateMachine().apply(applied, entry.getStateMillis(), entry.getCommand());
        }
        pending.applied(entry, reply);
    }

    /**
     * Answers or repeats a refused change.
     *
     * @param refused the refusal
     */
    private void onChangeRefused(Effect.ChangeRefused refused) {
        pending.remove(refused.id());
        PendingChange change = changes.remove(refused.id());
        boolean passing = refused.refusal() == MemberChange.Refusal.CHANGE_IN_PROGRESS
                || refused.refusal() == MemberChange.Refusal.NOT_CAUGHT_UP;
        Deadline retry = Deadline.after(context.clock().nanoTime(), settings.heartbeatInterval());
        if (passing && retry.compareTo(change.deadline()) < 0) {
            timers.schedule(retry, () -> changeMembers(change.change(), change.deadline(), change.outcome()));
        } else {
            change.outcome().complete(new ChangeOutcome.Refused(refused.refusal()));
        }
    }

    /**
     * Answers a read.
     *
     * @param id the caller's number
     */
    private void onReadConfirmed(long id) {
        CompletableFuture<Boolean> read = reads.remove(id);
        if (read != null) {
            read.complete(true);
        }
    }

    /**
     * Reports a change of role.
     *
     * @param changed the change
     */
    private void report(Effect.RoleChanged changed) {
        String leader = changed.leader().map(Object::toString).orElse("none");
        context.events()
                .record(Event.named("log-role-changed")
                        .with("member", self)
                        .with("role", changed.role())
                        .with("term", changed.term())
                        .with("leader", leader));
    }

    /** Encodes the state once enough entries were applied since the last snapshot. */
    private void takeSnapshotIfDue() {
        if (applied - snapshotIndex >= settings.snapshotThresholdEntries()) {
            snapshotIndex = applied;
            inputs.add(new Input.SnapshotTaken(applied, context.stateMachine().snapshot()));
        }
    }

    /** Answers every caller when the member stops. */
    private void abandon() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        pending.abandonAll();
        reads.values().forEach(read -> read.complete(false));
        reads.clear();
    }

    /**
     * Returns the leader's VM.
     *
     * @return the name, if known
     */
    private Optional<VmName> leaderName() {
        return status.leader().map(leader -> leader.name());
    }

    /**
     * Reads the status off the core.
     *
     * @return the status
     */
    private MemberStatus currentStatus() {
        return new MemberStatus(
                self,
                consensus.role(),
                consensus.term(),
                consensus.commitIndex(),
                consensus.leader(),
                consensus.members(),
                consensus.responsiveMembers());
    }

    /**
     * Tells whether this member leads and its lease is not over.
     *
     * @return {@code true} for the leader
     */
    boolean isLeaseHeld() {
        Optional<Deadline> held = lease;
        return held.isPresent() && !held.get().hasPassed(context.clock().nanoTime());
    }

    /**
     * Returns what other threads see of the member.
     *
     * @return the status
     */
    MemberStatus status() {
        return status;
    }

    /**
     * Tells whether the member has not stopped.
     *
     * @return {@code true} while it runs
     */
    boolean isRunning() {
        return running;
    }

    /**
     * Returns a stage that completes with the failure that stopped the member.
     *
     * @return the stage
     */
    CompletionStage<Exception> failure() {
        return failure;
    }

    /** Stops both threads. */
    void close() {
        running = false;
        wake();
        try {
            thread.join();
            disk.close();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (IOException exception) {
            LOGGER.warn("event=log-storage-close-failed member={} reason=\"{}\"", self, exception.getMessage());
        }
    }
}
