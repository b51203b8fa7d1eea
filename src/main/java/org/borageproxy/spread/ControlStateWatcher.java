package org.borageproxy.spread;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
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
import org.borageproxy.vm.AvailabilityZone;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the control group's state from one VM. Only answers that a control VM confirmed as current renew the
 * freshness lease, which starts when the request is sent; versions and revisions never decrease. At most one request is
 * in flight. Fields that other threads read without the lock are volatile; the other mutable fields are used by one
 * request after the other. Listeners are called under the lock, in order. Thread safe.
 */
public final class ControlStateWatcher implements ConfigurationSource {

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlStateWatcher.class);

    /** Duration for which the configuration counts as current, from when the request was sent. */
    public static final Duration FRESHNESS_LEASE = Duration.ofMillis(2500);

    /** Time for which a control VM may delay its answer until a change. */
    private static final Duration LONG_POLL_WAIT = Duration.ofMillis(800);

    /** Maximum time for a request in addition to the long-poll wait. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(600);

    /**
     * Time after a request for the state within which this VM counts as informed. Leaves a second of the five within
     * which a VM must obey a drain.
     */
    private static final Duration INFORMED_PERIOD = Duration.ofMillis(4000);

    /** Delay after a failed request, or while no control VM is known. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    /** Delay between two requests, so that a burst of changes arrives in one answer. */
    private static final Duration POLL_DELAY = Duration.ofMillis(10);

    /** Assumed remaining time of the lease of a watched holder. */
    private static final Duration ASSUMED_LEASE = Duration.ofMillis(3000);

    private final VmAddress self;
    private final VmNetwork network;
    private final Supplier<List<VmName>> controlVms;
    private final MonotonicClock clock;
    private final Timer timer;
    private final EventRecorder events;
    private final WatchJournal journal;

    /** Listeners for the configuration. */
    private final List<Consumer<Configuration>> configurationListeners = new CopyOnWriteArrayList<>();

    /** Listeners for the list of VMs. */
    private final List<Consumer<List<VmAddress>>> vmListeners = new CopyOnWriteArrayList<>();

    /** Listeners for the published document. */
    private final List<Consumer<DocumentState>> documentListeners = new CopyOnWriteArrayList<>();

    /** Whether this VM is a member of the control group. */
    private final boolean isControlVm;

    /** Listeners for the drained zones. */
    private final List<Consumer<Set<AvailabilityZone>>> drainListeners = new CopyOnWriteArrayList<>();

    /** Latest confirmed state. */
    private volatile WatchedState state = WatchedState.EMPTY;

    /** End of the freshness lease, or {@code null} before the first confirmed answer. */
    private volatile Deadline freshUntil;

    /** Time at which the latest confirmed answer was requested; valid once {@link #freshUntil} is set. */
    private volatile long confirmedAtNanos;

    /** End of the time for which this VM counts as informed, or {@code null} before the first completed request. */
    private volatile Deadline informedUntil;

    private volatile boolean isRunning;

    /** Number of consecutive failed requests. */
    private int failures;

    /** Position of the control VM that is asked; advances after each failure. */
    private int targetPosition;

    /**
     * Creates a watcher on a VM that is not a member of the control group.
     *
     * @param self the address of this VM
     * @param network the network between VMs
     * @param controlVms supplies the control VMs
     * @param clock the monotonic clock
     * @param timer schedules requests
     * @param events records events
     */
    public ControlStateWatcher(
            VmAddress self,
            VmNetwork network,
            Supplier<List<VmName>> controlVms,
            MonotonicClock clock,
            Timer timer,
            EventRecorder events) {
        this(self, false, network, controlVms, clock, timer, events);
    }

    /**
     * Creates a watcher. Its requests register this VM with the control group.
     *
     * @param self the address of this VM
     * @param control whether this VM is a member of the control group
     * @param network the network between VMs; must reach this VM too if it is a control VM
     * @param controlVms supplies the control VMs
     * @param clock the monotonic clock
     * @param timer schedules requests
     * @param events records events
     */
    public ControlStateWatcher(
            VmAddress self,
            boolean control,
            VmNetwork network,
            Supplier<List<VmName>> controlVms,
            MonotonicClock clock,
            Timer timer,
            EventRecorder events) {
        this.self = self;
        this.isControlVm = control;
        this.network = network;
        this.controlVms = controlVms;
        this.clock = clock;
        this.timer = timer;
        this.events = events;
        this.journal = new WatchJournal(self.name(), clock);
        this.targetPosition = Math.floorMod(self.name().hashCode(), 1 << 16);
    }

    /** Starts sending requests. Has no effect while running. */
    public synchronized void start() {
        if (!isRunning) {
            isRunning = true;
            timer.schedule(Duration.ZERO, this::poll);
        }
    }

    /** Stops sending requests; the freshness lease expires. */
    public void stop() {
        isRunning = false;
    }

    @Override
    public Configuration current() {
        return state.configuration();
    }

    @Override
    public boolean isFresh(long nowNanos) {
        Deadline until = freshUntil;
        return until != null && !until.hasPassed(nowNanos);
    }

    /**
     * Returns whether this VM has received a confirmed state since it started.
     *
     * @return {@code true} after the first confirmed answer
     */
    public boolean isReady() {
        return freshUntil != null;
    }

    /**
     * Returns whether the state includes each change that was committed before a time.
     *
     * @param nanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if a confirmed answer was requested after that time
     */
    public boolean isConfirmedAfter(long nanos) {
        return freshUntil != null && confirmedAtNanos - nanos > 0;
    }

    /**
     * Returns whether a request for the state that was sent within the last seconds has completed, with or without
     * success. A VM that is cut off from the control group stays informed, since it knows that it can learn nothing
     * newer; one that was frozen is not until the first request after the freeze has completed.
     *
     * @return {@code false} if the state may be outdated and is being requested
     */
    public boolean isInformed() {
        Deadline until = informedUntil;
        return until != null && !until.hasPassed(clock.nanoTime());
    }

    /**
     * Returns the zones whose servers get no requests by order of an operator.
     *
     * @return the zones as of the latest confirmed state
     */
    public Set<AvailabilityZone> drainedZones() {
        return state.drainedZones();
    }

    /**
     * Registers a listener that is called after each change of the drained zones, before the listeners of a document
     * that arrived with it.
     *
     * @param listener receives the zones
     */
    public synchronized void subscribeDrainedZones(Consumer<Set<AvailabilityZone>> listener) {
        drainListeners.add(listener);
        if (!state.drainedZones().isEmpty()) {
            listener.accept(state.drainedZones());
        }
    }

    /**
     * Returns the settings tree with the origin of each value.
     *
     * @return the tree
     */
    public EffectiveTree tree() {
        return state.tree();
    }

    /**
     * Returns the registered VMs.
     *
     * @return the addresses
     */
    public List<VmAddress> vms() {
        return state.vms();
    }

    /**
     * Returns the published suspicion of a request.
     *
     * @param fingerprint the fingerprint of the request
     * @return the suspicion
     */
    public Suspicion suspicion(Fingerprint fingerprint) {
        return state.suspicion(fingerprint.value());
    }

    /**
     * Returns the latest watched holder of a duty. The expiry of the lease is an estimate from the present time, since
     * holders renew their leases without a published change.
     *
     * @param duty the duty
     * @return the lease, empty if the duty is not known to be held
     */
    public Optional<Lease> lastKnownLease(Duty duty) {
        LeaseState lease = state.lease(duty.name());
        if (lease.getHolder().isEmpty() || lease.getFree()) {
            return Optional.empty();
        }
        Deadline expiresAt = Deadline.after(clock.nanoTime(), ASSUMED_LEASE);
        return Optional.of(new Lease(duty, new VmName(lease.getHolder()), lease.getEpoch(), expiresAt));
    }

    @Override
    public synchronized void subscribe(Consumer<Configuration> listener) {
        configurationListeners.add(listener);
        if (state.configuration().revision() > 0) {
            listener.accept(state.configuration());
        }
    }

    /**
     * Registers a listener that is called with the current VMs immediately and after each change of the watched state.
     *
     * @param listener receives the addresses of the registered VMs
     */
    public synchronized void subscribeVms(Consumer<List<VmAddress>> listener) {
        vmListeners.add(listener);
        listener.accept(state.vms());
    }

    /**
     * Registers a listener for the published document, which is independent of the documents of the settings tree. It
     * is called with the current document immediately, if there is one.
     *
     * @param listener receives each newer document
     */
    public synchronized void subscribeDocument(Consumer<DocumentState> listener) {
        documentListeners.add(listener);
        state.published().ifPresent(listener);
    }

    /**
     * Returns the registered VMs that are not members of the control group.
     *
     * @return their names
     */
    public List<VmName> registeredDataPlaneVms() {
        List<VmAddress> control = state.controlVms();
        return state.vms().stream()
                .filter(vm -> !control.contains(vm))
                .map(VmAddress::name)
                .toList();
    }

    /**
     * Returns the VMs registered as members of the control group.
     *
     * @return their addresses
     */
    public List<VmAddress> registeredControlVms() {
        return state.controlVms();
    }

    /**
     * Returns the time since the request whose answer showed that this VM has the newest state.
     *
     * @return the age in milliseconds, below a second on a VM that is not behind
     */
    public long ageMillis() {
        return journal.ageMillis();
    }

    /**
     * Returns the number of requests for the state that brought nothing.
     *
     * @return the number since the start
     */
    public long failureCount() {
        return journal.failureCount();
    }

    /**
     * Returns the size of all answers to requests for the state.
     *
     * @return the number of bytes since the start
     */
    public long receivedBytes() {
        return journal.receivedBytes();
    }

    /** Sends a request, or schedules another attempt if that fails. */
    private void poll() {
        try {
            sendRequest();
        } catch (RuntimeException | Error exception) {
            LOGGER.error("event=state-request-failed", exception);
            timer.schedule(RETRY_DELAY, this::poll);
        }
    }

    /** Sends a request to a control VM, without a long-poll wait after a failure or before the first answer. */
    private void sendRequest() {
        List<VmName> candidates = controlVms.get();
        if (!isRunning) {
            return;
        }
        if (candidates.isEmpty()) {
            timer.schedule(RETRY_DELAY, this::poll);
            return;
        }
        long sentAtNanos = clock.nanoTime();
        Duration wait = failures > 0 || freshUntil == null ? Duration.ZERO : LONG_POLL_WAIT;
        VmName target = candidates.get(Math.floorMod(targetPosition, candidates.size()));
        Watch.Builder watch = Watch.newBuilder()
                .setVm(VmRecord.newBuilder()
                        .setName(self.name().value())
                        .setZone(self.zone().value())
                        .setHost(self.host())
                        .setPort(self.port())
                        .setControl(isControlVm)
                        .setObeysDrains(true))
                .setVersion(state.version())
                .setServedRevision(state.configuration().revision())
                .setWaitMillis((int) wait.toMillis());
        ByteString body = WatchRequest.newBuilder().setWatch(watch).build().toByteString();
        Deadline deadline = Deadline.after(sentAtNanos, wait.plus(ANSWER_TIMEOUT));
        journal.recordRequest();
        request(target, body, deadline)
                .whenComplete((answer, failure) -> timer.schedule(Duration.ZERO, () -> {
                    if (failure != null) {
                        boolean isTimeout = deadline.hasPassed(clock.nanoTime());
                        journal.recordFailure(
                                target,
                                isTimeout ? WatchJournal.Failure.TIMEOUT : WatchJournal.Failure.UNREACHABLE,
                                sentAtNanos);
                    }
                    handleAnswer(target, answer, failure, sentAtNanos);
                }));
    }

    /** Applies an answer and schedules the next request, whatever fails: the watch has no other way to go on. */
    private void handleAnswer(VmName target, ByteString answer, Throwable failure, long sentAtNanos) {
        boolean isSuccess = false;
        try {
            isSuccess = failure == null && applyAnswer(target, answer, sentAtNanos);
        } catch (RuntimeException | Error exception) {
            LOGGER.error("event=state-answer-failed bytes={}", answer.size(), exception);
        } finally {
            informedUntil = Deadline.after(sentAtNanos, INFORMED_PERIOD);
            scheduleNextPoll(isSuccess);
        }
    }

    /** Sends a request that fails at its deadline even if the network does not report a failure. */
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
        timer.schedule(
                remaining,
                () -> answer.completeExceptionally(
                        new IllegalStateException("control VM did not answer before the deadline")));
        return answer;
    }

    /** Schedules the next request, to another control VM after a failure. */
    private synchronized void scheduleNextPoll(boolean isSuccess) {
        if (isSuccess) {
            failures = 0;
            timer.schedule(POLL_DELAY, this::poll);
        } else {
            failures++;
            targetPosition++;
            journal.checkAge(state.version(), "-");
            timer.schedule(RETRY_DELAY, this::poll);
        }
    }

    /** Applies an answer and returns whether it contained a confirmed state that was applied. */
    private synchronized boolean applyAnswer(VmName target, ByteString encoded, long sentAtNanos) {
        journal.recordAnswer(encoded.size());
        WatchAnswer answer;
        try {
            answer = WatchAnswer.parseFrom(encoded);
        } catch (InvalidProtocolBufferException exception) {
            journal.recordFailure(target, WatchJournal.Failure.UNREADABLE, sentAtNanos);
            return false;
        }
        if (!answer.getConfirmed()) {
            journal.recordFailure(target, WatchJournal.Failure.UNCONFIRMED, sentAtNanos);
            return false;
        }
        WatchedState.Update update = state.apply(answer);
        if (update instanceof WatchedState.Update.Applied applied) {
            journalDocument(target, applied.state(), encoded.size(), sentAtNanos);
            replaceState(applied.state(), sentAtNanos);
            return true;
        }
        journal.recordFailure(
                target,
                update instanceof WatchedState.Update.Stale
                        ? WatchJournal.Failure.OUTDATED
                        : WatchJournal.Failure.UNREADABLE,
                sentAtNanos);
        if (update instanceof WatchedState.Update.InvalidDocument invalid) {
            events.record(Event.named("configuration-unreadable")
                    .with("revision", invalid.revision())
                    .with("errors", invalid.errors().size()));
        } else {
            events.record(Event.named("configuration-backwards")
                    .with("revision", state.configuration().revision())
                    .with("offered", answer.getRevision()));
        }
        return false;
    }

    private void journalDocument(VmName source, WatchedState later, long receivedBytes, long sentAtNanos) {
        long requestMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - sentAtNanos);
        if (later.documentVersion() > state.documentVersion()) {
            DocumentState document = later.published().orElseThrow();
            journal.recordDocument(new WatchJournal.DocumentArrival(
                    document.getNumber(),
                    later.documentVersion(),
                    source,
                    requestMillis,
                    0,
                    document.getContent().size(),
                    receivedBytes));
        }
        journal.recordConfirmed(sentAtNanos);
    }

    /**
     * Replaces the state, renews the freshness lease and notifies the listeners of what changed. The caller holds the
     * lock.
     */
    private void replaceState(WatchedState later, long sentAtNanos) {
        WatchedState earlier = state;
        state = later;
        confirmedAtNanos = sentAtNanos;
        freshUntil = Deadline.after(sentAtNanos, FRESHNESS_LEASE);
        if (later == earlier) {
            return;
        }
        notifyAll(vmListeners, later.vms());
        if (!later.drainedZones().equals(earlier.drainedZones())) {
            events.record(Event.named("zones-drained")
                    .with("zones", later.drainedZones().toString())
                    .with("version", later.version()));
            notifyAll(drainListeners, later.drainedZones());
        }
        long earlierNumber = earlier.published().map(DocumentState::getNumber).orElse(0L);
        later.published()
                .filter(document -> document.getNumber() > earlierNumber)
                .ifPresent(document -> notifyAll(documentListeners, document));
        if (later.configuration().revision() > earlier.configuration().revision()) {
            events.record(Event.named("configuration-served")
                    .with("revision", later.configuration().revision()));
            notifyAll(configurationListeners, later.configuration());
        }
    }

    /** Calls the listeners; a failure of one affects neither the others nor the watch. */
    private static <T> void notifyAll(List<Consumer<T>> listeners, T value) {
        for (Consumer<T> listener : listeners) {
            try {
                listener.accept(value);
            } catch (RuntimeException | Error exception) {
                LOGGER.error("event=state-listener-failed", exception);
            }
        }
    }
}
