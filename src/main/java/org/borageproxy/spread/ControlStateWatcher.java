package org.borageproxy.spread;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.control.Timer;
import org.borageproxy.event.Event;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.execution.Fingerprint;
import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.transfer.ChunkFetch;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.ConfigurationSource;
import org.borageproxy.tree.EffectiveTree;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.DocumentState;
import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.borageproxy.wire.proto.ControlProtocol.LeaseState;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;
import org.borageproxy.wire.proto.ControlProtocol.Watch;
import org.borageproxy.wire.proto.ControlProtocol.WatchAnswer;
import org.borageproxy.wire.proto.ControlProtocol.WatchRequest;

/**
 * Watches the control group's state from one VM. Only answers that a control VM confirmed as current renew the
 * freshness lease, which starts when the request is sent, and only while no value of the state is missing; versions and
 * revisions never decrease. Small changes apply at once; large values come in chunks meanwhile. Fields that other
 * threads read without the lock are volatile. Listeners are called under the lock, in order. Thread safe.
 */
public final class ControlStateWatcher implements ConfigurationSource {

    /** Duration for which the configuration counts as current, from when the request was sent. */
    public static final Duration FRESHNESS_LEASE = Duration.ofMillis(2500);

    /** Time for which a control VM may delay its answer until a change. */
    private static final Duration LONG_POLL_WAIT = Duration.ofMillis(800);

    /**
     * Time after a request for the state within which this VM counts as informed. Leaves a second of the five within
     * which a VM must obey a drain.
     */
    private static final Duration INFORMED_PERIOD = Duration.ofMillis(4000);

    /** Assumed remaining time of the lease of a watched holder. */
    private static final Duration ASSUMED_LEASE = Duration.ofMillis(3000);

    private final VmAddress self;
    private final MonotonicClock clock;
    private final EventRecorder events;
    private final WatchJournal journal;

    /** Listeners for the configuration. */
    private final StateListeners<Configuration> configurationListeners = new StateListeners<>();

    /** Listeners for the list of VMs. */
    private final StateListeners<List<VmAddress>> vmListeners = new StateListeners<>();

    /** Listeners for the published document. */
    private final StateListeners<DocumentState> documentListeners = new StateListeners<>();

    /** Whether this VM is a member of the control group. */
    private final boolean isControlVm;

    /** Listeners for the drained zones. */
    private final StateListeners<Set<AvailabilityZone>> drainListeners = new StateListeners<>();

    /** Listeners for the suspected parts of prompts for which no VM has vouched. */
    private final StateListeners<Set<Fingerprint>> suspectPartListeners = new StateListeners<>();

    /** Latest confirmed state. */
    private volatile WatchedState state = WatchedState.EMPTY;

    /** End of the freshness lease, or {@code null} before the first confirmed answer. */
    private volatile Deadline freshUntil;

    /** Time at which the latest confirmed answer was requested; valid once {@link #freshUntil} is set. */
    private volatile long confirmedAtNanos;

    /** End of the time for which this VM counts as informed, or {@code null} before the first completed request. */
    private volatile Deadline informedUntil;

    /** Time at which the latest confirmed answer was requested, whether or not all values had arrived; guarded. */
    private long confirmedVersionAtNanos;

    /** Whether a confirmed answer has been applied; guarded by this. */
    private boolean hasApplied;

    /** Changes that others will follow; guarded by this. */
    private Optional<StagedChanges> staged = Optional.empty();

    /** Version after which records are asked for again, since the chunks of one are not to be had; guarded by this. */
    private Optional<Long> namedAgainAfter = Optional.empty();

    private final StateRequests requests;
    private final StateTransfers transfers;

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
        this.clock = clock;
        this.events = events;
        this.journal = new WatchJournal(self.name(), clock);
        this.confirmedVersionAtNanos = clock.nanoTime();
        ControlVmOrder order = new ControlVmOrder(self.name(), clock);
        this.requests = new StateRequests(network, controlVms, order, clock, timer, journal, new Conversation());
        this.transfers = new StateTransfers(
                new ChunkFetch.Environment(network, () -> order.sort(controlVms.get()), clock, timer),
                new ValueReceiver());
    }

    /** Starts sending requests. Has no effect while running. */
    public void start() {
        requests.start();
    }

    /** Stops sending requests; the freshness lease expires. */
    public void stop() {
        requests.stop();
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
     * Returns the published suspicions of requests and parts of prompts.
     *
     * @return the suspicions as of the latest confirmed state
     */
    public WatchedSuspicions suspicions() {
        return state.suspicions();
    }

    /**
     * Registers a listener that is called when the suspected parts of prompts change for which no VM has vouched.
     *
     * @param listener receives the fingerprints of these parts
     */
    public synchronized void subscribeSuspectParts(Consumer<Set<Fingerprint>> listener) {
        suspectPartListeners.add(listener);
        if (!state.suspicions().unvouchedParts().isEmpty()) {
            listener.accept(state.suspicions().unvouchedParts());
        }
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

    /**
     * Returns whether a newer document has been published than the one that has arrived.
     *
     * @return {@code true} from the first answer that names the newer one until it has arrived
     */
    public boolean isDocumentMissing() {
        return state.isDocumentMissing();
    }

    /** Asks for what changed after the state and the changes that are staged. */
    private final class Conversation implements StateRequests.Conversation {

        @Override
        public StateRequests.Question question(boolean mayWait) {
            synchronized (ControlStateWatcher.this) {
                boolean isWaiting = mayWait && hasApplied && staged.isEmpty() && namedAgainAfter.isEmpty();
                Duration wait = isWaiting ? LONG_POLL_WAIT : Duration.ZERO;
                long version = staged.map(StagedChanges::through)
                        .or(() -> namedAgainAfter)
                        .orElseGet(state::version);
                Watch.Builder watch = Watch.newBuilder()
                        .setVm(VmRecord.newBuilder()
                                .setName(self.name().value())
                                .setZone(self.zone().value())
                                .setHost(self.host())
                                .setPort(self.port())
                                .setControl(isControlVm)
                                .setObeysDrains(true)
                                .setGrantsTrials(true))
                        .setVersion(version)
                        .setServedRevision(state.configuration().revision())
                        .setWaitMillis((int) wait.toMillis())
                        .setAcceptsChunks(true)
                        .setCompleteSince(
                                staged.map(StagedChanges::completeSince).orElse(0L));
                journal.checkAge(state.version(), transfers.describe(state.missing()));
                return new StateRequests.Question(
                        WatchRequest.newBuilder().setWatch(watch).build().toByteString(),
                        version,
                        Deadline.after(clock.nanoTime(), wait));
            }
        }

        @Override
        public StateRequests.Worth receive(
                VmName source, StateRequests.Question question, long sentAtNanos, ByteString encoded) {
            journal.recordAnswer(encoded.size());
            WatchAnswer answer;
            try {
                answer = WatchAnswer.parseFrom(encoded);
            } catch (InvalidProtocolBufferException exception) {
                journal.recordFailure(source, WatchJournal.Failure.UNREADABLE, sentAtNanos);
                return StateRequests.Worth.NONE;
            }
            if (!answer.getConfirmed()) {
                journal.recordFailure(source, WatchJournal.Failure.UNCONFIRMED, sentAtNanos);
                return StateRequests.Worth.NONE;
            }
            synchronized (ControlStateWatcher.this) {
                return answer.getMore()
                        ? stage(question, answer)
                        : apply(new Received(source, sentAtNanos, encoded.size()), question, answer);
            }
        }

        @Override
        public void onSettled(long sentAtNanos) {
            Deadline until = Deadline.after(sentAtNanos, INFORMED_PERIOD);
            synchronized (ControlStateWatcher.this) {
                if (informedUntil == null || informedUntil.compareTo(until) < 0) {
                    informedUntil = until;
                }
            }
        }
    }

    /** Where and when an answer came from, and its size. */
    private record Received(VmName source, long sentAtNanos, long bytes) {}

    /** Keeps changes that others will follow. The caller holds the lock. */
    private StateRequests.Worth stage(StateRequests.Question question, WatchAnswer answer) {
        long through = staged.map(StagedChanges::through).orElseGet(state::version);
        if (answer.getFull() && (staged.isEmpty() || answer.getVersion() > through)) {
            staged = Optional.of(StagedChanges.begin(answer));
        } else if (!answer.getFull() && question.version() == through) {
            staged = Optional.of(
                    staged.map(changes -> changes.plus(answer)).orElseGet(() -> StagedChanges.begin(answer)));
        }
        return StateRequests.Worth.INCOMPLETE;
    }

    /** Applies an answer with all changes to the present. The caller holds the lock. */
    private StateRequests.Worth apply(Received received, StateRequests.Question question, WatchAnswer answer) {
        boolean isLast = staged.filter(changes -> changes.through() == question.version())
                .isPresent();
        WatchAnswer whole = isLast ? staged.get().complete(answer) : answer;
        if (answer.getVersion() < state.version() && question.version() < state.version()) {
            // Another answer to the same question was faster and newer.
            return StateRequests.Worth.CURRENT;
        }
        WatchedState.Update update = state.apply(whole);
        if (update instanceof WatchedState.Update.Applied applied) {
            hasApplied = true;
            staged = Optional.empty();
            namedAgainAfter = namedAgainAfter.filter(version -> version < question.version());
            long requestMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - received.sentAtNanos());
            confirmedVersionAtNanos = Math.max(confirmedVersionAtNanos, received.sentAtNanos());
            replaceState(
                    applied.state(),
                    document -> new WatchJournal.DocumentArrival(
                            document.getNumber(),
                            applied.state().documentVersion(),
                            received.source(),
                            requestMillis,
                            0,
                            document.getContent().size(),
                            received.bytes()));
            transfers.fetch(state.missing(), received.source(), requestMillis);
            return StateRequests.Worth.CURRENT;
        }
        staged = Optional.empty();
        if (update instanceof WatchedState.Update.InvalidDocument invalid) {
            events.record(Event.named("configuration-unreadable")
                    .with("revision", invalid.revision())
                    .with("errors", invalid.errors().size()));
            journal.recordFailure(received.source(), WatchJournal.Failure.UNREADABLE, received.sentAtNanos());
        } else {
            events.record(Event.named("configuration-backwards")
                    .with("revision", state.configuration().revision())
                    .with("offered", answer.getRevision()));
            journal.recordFailure(received.source(), WatchJournal.Failure.OUTDATED, received.sentAtNanos());
        }
        return StateRequests.Worth.NONE;
    }

    /** Applies the values of records that came in chunks. */
    private final class ValueReceiver implements StateTransfers.Listener {

        @Override
        public void onValue(StateTransfers.Transfer transfer, Item value) {
            synchronized (ControlStateWatcher.this) {
                if (!transfers.isPresent(transfer)) {
                    return;
                }
                transfers.end(transfer, true);
                journal.recordAnswer(transfer.fetch().receivedBytes());
                if (state.complete(value) instanceof WatchedState.Update.Applied applied) {
                    replaceState(
                            applied.state(),
                            document -> new WatchJournal.DocumentArrival(
                                    document.getNumber(),
                                    applied.state().documentVersion(),
                                    transfer.source(),
                                    transfer.requestMillis(),
                                    transfer.millisSince(clock.nanoTime()),
                                    document.getContent().size(),
                                    transfer.fetch().receivedBytes()));
                }
                transfers.fetch(state.missing(), transfer.source(), 0);
            }
        }

        /**
         * Turns to a newer value, or lets the next answer name the chunks again, as the control VMs divide the value
         * now.
         */
        @Override
        public void onUnavailable(StateTransfers.Transfer transfer) {
            synchronized (ControlStateWatcher.this) {
                if (!transfers.isPresent(transfer)) {
                    return;
                }
                transfers.end(transfer, false);
                Item missing = state.missing().get(transfer.name());
                if (missing != null
                        && missing.getVersion() > transfer.reference().getVersion()) {
                    transfers.fetch(state.missing(), transfer.source(), 0);
                } else if (missing != null) {
                    long version = missing.getVersion() - 1;
                    namedAgainAfter = Optional.of(namedAgainAfter
                            .map(other -> Math.min(other, version))
                            .orElse(version));
                }
            }
        }
    }

    /**
     * Replaces the state, renews the freshness lease if nothing is missing, and notifies the listeners of what changed.
     * The caller holds the lock.
     */
    private void replaceState(WatchedState later, Function<DocumentState, WatchJournal.DocumentArrival> arrival) {
        WatchedState earlier = state;
        state = later;
        if (later.documentVersion() > earlier.documentVersion()) {
            journal.recordDocument(arrival.apply(later.published().orElseThrow()));
        }
        if (later.missing().isEmpty()) {
            confirmedAtNanos = confirmedVersionAtNanos;
            freshUntil = Deadline.after(confirmedVersionAtNanos, FRESHNESS_LEASE);
            journal.recordConfirmed(confirmedVersionAtNanos);
        }
        if (later == earlier) {
            return;
        }
        vmListeners.notifyAll(later.vms());
        if (!later.drainedZones().equals(earlier.drainedZones())) {
            events.record(Event.named("zones-drained")
                    .with("zones", later.drainedZones().toString())
                    .with("version", later.version()));
            drainListeners.notifyAll(later.drainedZones());
        }
        Set<Fingerprint> unvouchedParts = later.suspicions().unvouchedParts();
        if (!unvouchedParts.equals(earlier.suspicions().unvouchedParts())) {
            suspectPartListeners.notifyAll(unvouchedParts);
        }
        long earlierNumber = earlier.published().map(DocumentState::getNumber).orElse(0L);
        later.published()
                .filter(document -> document.getNumber() > earlierNumber)
                .ifPresent(document -> documentListeners.notifyAll(document));
        if (later.configuration().revision() > earlier.configuration().revision()) {
            events.record(Event.named("configuration-served")
                    .with("revision", later.configuration().revision()));
            configurationListeners.notifyAll(later.configuration());
        }
    }
}
