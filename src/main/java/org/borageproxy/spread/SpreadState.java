package org.borageproxy.spread;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.control.Timer;
import org.borageproxy.event.Event;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.execution.Fingerprint;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.ConfigurationSource;
import org.borageproxy.tree.EffectiveTree;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.DocumentState;
import org.borageproxy.wire.proto.ControlProtocol.LeaseState;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;
import org.borageproxy.wire.proto.ControlProtocol.Watch;
import org.borageproxy.wire.proto.ControlProtocol.WatchAnswer;
import org.borageproxy.wire.proto.ControlProtocol.WatchRequest;

/**
 * Follows the control group's state on one VM. Only answers that the leader confirmed extend the freshness lease, which
 * starts when the request was sent; versions and revisions only rise. One request is under way at a time. Fields that
 * change are volatile and written under the lock; listeners are called under it, in order. Safe for use by any thread.
 */
public final class SpreadState implements ConfigurationSource {

    /** How long the configuration counts as current, from when the request was sent. */
    public static final Duration FRESHNESS = Duration.ofMillis(2500);

    /** How long a control VM may wait for a change before it answers. */
    private static final Duration WAIT = Duration.ofMillis(400);

    /** The longest time for a request beside the wait. */
    private static final Duration PATIENCE = Duration.ofMillis(600);

    /** The pause after a failed request. */
    private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(50);

    /** The least time between two requests, so that a burst of changes is taken together. */
    private static final Duration LEAST_PAUSE = Duration.ofMillis(10);

    /** How long a holder of a duty that was heard of counts as the holder. */
    private static final Duration HEARD_LEASE = Duration.ofMillis(3000);

    /** The address of this VM. */
    private final VmAddress self;

    /** The network between VMs. */
    private final VmNetwork network;

    /** Returns the control VMs. */
    private final Supplier<List<VmName>> controlVms;

    /** The clock. */
    private final MonotonicClock clock;

    /** Sends requests later. */
    private final Timer timer;

    /** Takes events. */
    private final EventRecorder events;

    /** The listeners for changes of the configuration. */
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

    /** The listeners for changes of the table of VMs. */
    private final List<Consumer<List<VmAddress>>> vmListeners = new CopyOnWriteArrayList<>();

    /** Told of each published document. */
    private final List<Consumer<DocumentState>> documentListeners = new CopyOnWriteArrayList<>();

    /** Whether this VM takes part in the control group. */
    private final boolean control;

    /** What this VM holds. */
    private volatile SpreadReplica replica = SpreadReplica.EMPTY;

    /** Until when the replica counts as current, or {@code null} if it never did. */
    private volatile Deadline freshUntil;

    /** Whether requests are sent. */
    private volatile boolean isRunning;

    /** The number of failed requests since the last success. */
    private int failures;

    /** The position of the control VM that is asked. */
    private int position;

    /**
     * Creates a follower.
     *
     * @param self the address of this VM
     * @param network the network between VMs, which reaches this VM too if it is a control VM
     * @param controlVms returns the control VMs
     * @param clock the clock
     * @param timer sends requests later
     * @param events takes events
     */
    public SpreadState(
            VmAddress self,
            VmNetwork network,
            Supplier<List<VmName>> controlVms,
            MonotonicClock clock,
            Timer timer,
            EventRecorder events) {
        this(self, false, network, controlVms, clock, timer, events);
    }

    /**
     * Creates a follower of the state that tells the control group whether this VM takes part in it.
     *
     * @param self this VM
     * @param control whether this VM takes part in the control group
     * @param network the network between VMs
     * @param controlVms returns the control VMs
     * @param clock the clock
     * @param timer runs tasks later
     * @param events takes the events of note
     */
    public SpreadState(
            VmAddress self,
            boolean control,
            VmNetwork network,
            Supplier<List<VmName>> controlVms,
            MonotonicClock clock,
            Timer timer,
            EventRecorder events) {
        this.self = self;
        this.control = control;
        this.network = network;
        this.controlVms = controlVms;
        this.clock = clock;
        this.timer = timer;
        this.events = events;
        this.position = Math.floorMod(self.name().hashCode(), 1 << 16);
    }

    /** Starts to follow. */
    public synchronized void start() {
        if (!isRunning) {
            isRunning = true;
            timer.schedule(Duration.ZERO, this::poll);
        }
    }

    /** Stops to follow; the freshness lease runs out. */
    public void stop() {
        isRunning = false;
    }

    @Override
    public Configuration current() {
        return replica.configuration();
    }

    @Override
    public boolean isFresh(long nowNanos) {
        Deadline until = freshUntil;
        return until != null && !until.hasPassed(nowNanos);
    }

    /**
     * Tells whether this VM has had the state since it started.
     *
     * @return {@code true} once a confirmed state came
     */
    public boolean isReady() {
        return freshUntil != null;
    }

    /**
     * Returns the tree with the origin of each value.
     *
     * @return the tree
     */
    public EffectiveTree tree() {
        return replica.tree();
    }

    /**
     * Returns the VMs that have registered.
     *
     * @return the addresses
     */
    public List<VmAddress> vms() {
        return replica.vms();
    }

    /**
     * Returns what this VM has heard of a request that may end backend servers.
     *
     * @param fingerprint the request
     * @return the suspicion
     */
    public Suspicion suspicion(Fingerprint fingerprint) {
        return replica.suspicion(fingerprint.value());
    }

    /**
     * Returns the holder of a duty that this VM has heard of last.
     *
     * @param duty the duty
     * @return the lease; how long it holds is a guess
     */
    public Optional<Lease> holder(Duty duty) {
        LeaseState lease = replica.lease(duty.name());
        if (lease.getHolder().isEmpty() || lease.getFree()) {
            return Optional.empty();
        }
        Deadline expiresAt = Deadline.after(clock.nanoTime(), HEARD_LEASE);
        return Optional.of(new Lease(duty, new VmName(lease.getHolder()), lease.getEpoch(), expiresAt));
    }

    @Override
    public synchronized void subscribe(Consumer<Configuration> listener) {
        listeners.add(listener);
        if (replica.configuration().revision() > 0) {
            listener.accept(replica.configuration());
        }
    }

    /**
     * Registers a listener that is called when the table of VMs may have changed.
     *
     * @param listener the listener
     */
    public synchronized void subscribeVms(Consumer<List<VmAddress>> listener) {
        vmListeners.add(listener);
        listener.accept(replica.vms());
    }

    /**
     * Registers a listener of the published document, which is told the newest one at once.
     *
     * @param listener takes each newer document
     */
    public synchronized void subscribeDocument(Consumer<DocumentState> listener) {
        documentListeners.add(listener);
        replica.published().ifPresent(listener);
    }

    /**
     * Returns the VMs that registered and take no part in the control group.
     *
     * @return their names
     */
    public List<VmName> registeredEntries() {
        List<VmAddress> control = replica.controlVms();
        return replica.vms().stream()
                .filter(vm -> !control.contains(vm))
                .map(VmAddress::name)
                .toList();
    }

    /**
     * Returns the VMs that registered as members of the control group.
     *
     * @return their addresses
     */
    public List<VmAddress> registeredControlVms() {
        return replica.controlVms();
    }

    /** Sends a request to a control VM. */
    private void poll() {
        List<VmName> candidates = controlVms.get();
        if (!isRunning) {
            return;
        }
        if (candidates.isEmpty()) {
            timer.schedule(PAUSE_AFTER_FAILURE, this::poll);
            return;
        }
        long sentAtNanos = clock.nanoTime();
        Duration wait = failures > 0 || freshUntil == null ? Duration.ZERO : WAIT;
        VmName target = candidates.get(Math.floorMod(position, candidates.size()));
        Watch.Builder watch = Watch.newBuilder()
                .setVm(VmRecord.newBuilder()
                        .setName(self.name().value())
                        .setZone(self.zone().value())
                        .setHost(self.host())
                        .setPort(self.port())
                        .setControl(control))
                .setVersion(replica.version())
                .setServedRevision(replica.configuration().revision())
                .setWaitMillis((int) wait.toMillis());
        ByteString body = WatchRequest.newBuilder().setWatch(watch).build().toByteString();
        Deadline deadline = Deadline.after(sentAtNanos, wait.plus(PATIENCE));
        request(target, body, deadline)
                .whenComplete((answer, failure) ->
                        timer.schedule(Duration.ZERO, () -> pollAgain(failure == null && take(answer, sentAtNanos))));
    }

    /**
     * Sends a request and gives up at its deadline even if the network does not.
     *
     * @param target the control VM
     * @param body the encoded request
     * @param deadline the deadline
     * @return the encoded answer, or a failure
     */
    private CompletionStage<ByteString> request(VmName target, ByteString body, Deadline deadline) {
        CompletableFuture<ByteString> answer = new CompletableFuture<>();
        network.request(target, MessageKind.STATE_WATCH, body, deadline).whenComplete((encoded, failure) -> {
            if (failure == null) {
                answer.complete(encoded);
            } else {
                answer.completeExceptionally(failure);
            }
        });
        Duration remaining = Duration.ofNanos(deadline.remainingNanos(clock.nanoTime()));
        timer.schedule(remaining, () -> answer.completeExceptionally(new IllegalStateException("No answer in time")));
        return answer;
    }

    /**
     * Sends the next request.
     *
     * @param isSuccess whether the last request brought a confirmed state
     */
    private synchronized void pollAgain(boolean isSuccess) {
        if (isSuccess) {
            failures = 0;
            timer.schedule(LEAST_PAUSE, this::poll);
        } else {
            failures++;
            position++;
            timer.schedule(PAUSE_AFTER_FAILURE, this::poll);
        }
    }

    /**
     * Takes an answer.
     *
     * @param encoded the encoded answer
     * @param sentAtNanos when its request was sent, on the monotonic clock
     * @return whether it brought a confirmed state
     */
    private synchronized boolean take(ByteString encoded, long sentAtNanos) {
        WatchAnswer answer;
        try {
            answer = WatchAnswer.parseFrom(encoded);
        } catch (InvalidProtocolBufferException exception) {
            return false;
        }
        if (!answer.getConfirmed()) {
            return false;
        }
        SpreadReplica.Update update = replica.with(answer);
        if (update instanceof SpreadReplica.Update.Taken taken) {
            replaceWith(taken.replica(), Deadline.after(sentAtNanos, FRESHNESS));
            return true;
        }
        if (update instanceof SpreadReplica.Update.Unreadable unreadable) {
            events.record(Event.named("configuration-unreadable")
                    .with("revision", unreadable.revision())
                    .with("errors", unreadable.errors().size()));
        } else {
            events.record(Event.named("configuration-backwards")
                    .with("revision", replica.configuration().revision())
                    .with("offered", answer.getRevision()));
        }
        return false;
    }

    /**
     * Replaces the replica and calls the listeners.
     *
     * @param later the later replica
     * @param until until when it counts as current
     */
    private void replaceWith(SpreadReplica later, Deadline until) {
        SpreadReplica earlier = replica;
        replica = later;
        freshUntil = until;
        if (later == earlier) {
            return;
        }
        vmListeners.forEach(listener -> listener.accept(later.vms()));
        long held = earlier.published().map(DocumentState::getNumber).orElse(0L);
        later.published()
                .filter(document -> document.getNumber() > held)
                .ifPresent(document -> documentListeners.forEach(listener -> listener.accept(document)));
        if (later.configuration().revision() > earlier.configuration().revision()) {
            events.record(Event.named("configuration-served")
                    .with("revision", later.configuration().revision()));
            listeners.forEach(listener -> listener.accept(later.configuration()));
        }
    }
}
