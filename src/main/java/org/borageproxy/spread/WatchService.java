package org.borageproxy.spread;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlState;
import org.borageproxy.control.Timer;
import org.borageproxy.log.ReplicatedLog;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.transfer.ChunkName;
import org.borageproxy.transfer.Manifest;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.borageproxy.wire.proto.ControlProtocol.ReadChunks;
import org.borageproxy.wire.proto.ControlProtocol.RegisterVm;
import org.borageproxy.wire.proto.ControlProtocol.Served;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;
import org.borageproxy.wire.proto.ControlProtocol.Watch;
import org.borageproxy.wire.proto.ControlProtocol.WatchAnswer;
import org.borageproxy.wire.proto.ControlProtocol.WatchRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers watches of the state and reads of operators on a control VM. Every answer states whether it was confirmed as
 * current with a majority of the control group after the request arrived. Thread safe.
 */
public final class WatchService implements VmNetwork.Handler {

    private static final Logger LOGGER = LoggerFactory.getLogger(WatchService.class);

    /** Maximum time for which a watch waits for a change, in milliseconds. */
    private static final int MAX_WAIT_MILLIS = 1000;

    /** Size of the records of an answer from which further ones follow in the next. */
    private static final int MAXIMUM_ANSWER_BYTES = 32 << 10;

    /** Maximum number of chunks in an answer. */
    private static final int MAXIMUM_CHUNKS = 128;

    /** Maximum time to register a VM. */
    private static final Duration REGISTRATION_TIMEOUT = Duration.ofMillis(3000);

    /** Time after its last watch for which the revision served by a VM is reported. */
    private static final Duration WATCHER_RETENTION = Duration.ofMinutes(10);

    private final ControlState state;
    private final LargeValues chunks = new LargeValues();
    private final ReadConfirmation confirmation;
    private final ControlClient client;
    private final MonotonicClock clock;
    private final Timer timer;

    /** Time at which this service was created, on the monotonic clock. */
    private final long startedAtNanos;

    /** Version up to which changes have ended waits. */
    private final AtomicLong examinedVersion = new AtomicLong();

    private final Set<PendingWatch> pendingWatches = ConcurrentHashMap.newKeySet();

    /** Latest watches by VM name. */
    private final Map<String, Watcher> watchers = new ConcurrentHashMap<>();

    /** Names of the VMs whose registration is in progress. */
    private final Set<String> registering = ConcurrentHashMap.newKeySet();

    /**
     * Creates a service.
     *
     * @param log this VM's member of the control group
     * @param state the state that the log replicates
     * @param client registers VMs
     * @param clock the monotonic clock
     * @param timer ends waits
     */
    public WatchService(
            ReplicatedLog log, ControlState state, ControlClient client, MonotonicClock clock, Timer timer) {
        this.state = state;
        this.confirmation = new ReadConfirmation(log, clock);
        this.client = client;
        this.clock = clock;
        this.startedAtNanos = clock.nanoTime();
        this.timer = timer;
        state.subscribe(this::endOutdatedWaits);
    }

    @Override
    public CompletionStage<ByteString> handle(VmName sender, ByteString body) {
        WatchRequest request;
        try {
            request = WatchRequest.parseFrom(body);
        } catch (InvalidProtocolBufferException exception) {
            return CompletableFuture.failedFuture(exception);
        }
        if (request.hasReadChunks()) {
            return CompletableFuture.completedFuture(chunks(request.getReadChunks()));
        }
        CompletionStage<WatchAnswer> answer = request.hasWatch()
                ? watch(request.getWatch())
                : read(request).thenApply(whole -> request.getAcceptsChunks() ? chunks.abridge(whole) : whole);
        return answer.thenApply(WatchAnswer::toByteString);
    }

    /** Answers a watch when the state has changed or the wait has ended. */
    private CompletionStage<WatchAnswer> watch(Watch watch) {
        VmRecord vm = watch.getVm();
        watchers.put(vm.getName(), new Watcher(vm, watch.getServedRevision(), clock.nanoTime()));
        PendingWatch pending = new PendingWatch(watch.getVersion(), vm.getControl(), new CompletableFuture<>());
        int waitMillis = Math.min(watch.getWaitMillis(), MAX_WAIT_MILLIS);
        pendingWatches.add(pending);
        if (waitMillis == 0 || state.version() != watch.getVersion()) {
            endWait(pending);
        } else {
            timer.schedule(Duration.ofMillis(waitMillis), () -> endWait(pending));
        }
        return pending.done().thenCompose(ignored -> {
            long beganAtNanos = clock.nanoTime();
            return confirmation
                    .confirm()
                    .thenApply(confirmed -> answerWatch(watch, confirmed, clock.nanoTime() - beganAtNanos));
        });
    }

    /** Returns the changes after the version of a watch and registers its VM. An unconfirmed answer is empty. */
    private WatchAnswer answerWatch(Watch watch, boolean confirmed, long confirmationNanos) {
        if (!confirmed) {
            return WatchAnswer.getDefaultInstance();
        }
        register(watch.getVm());
        ControlState.Changes changes = state.changesAfter(watch.getVersion(), watch.getCompleteSince());
        logDocument(watch, changes, confirmationNanos);
        WatchAnswer.Builder answer = WatchAnswer.newBuilder()
                .setConfirmed(true)
                .setVersion(changes.version())
                .setNewestVersion(changes.version())
                .setRevision(changes.revision())
                .setFull(changes.full());
        if (watch.getAcceptsChunks()) {
            addBounded(answer, changes.items());
        } else {
            answer.addAllItems(changes.items());
        }
        return answer.build();
    }

    /** Adds records in order of their versions, large ones named by their chunks, as far as one answer may grow. */
    private void addBounded(WatchAnswer.Builder answer, List<Item> items) {
        int bytes = 0;
        for (Item item : items) {
            if (bytes >= MAXIMUM_ANSWER_BYTES) {
                answer.setMore(true)
                        .setVersion(answer.getItems(answer.getItemsCount() - 1).getVersion());
                return;
            }
            Item abridged = chunks.abridge(item);
            answer.addItems(abridged);
            bytes += abridged.getSerializedSize();
        }
    }

    /** Answers a read of chunks, which need no confirmation, since their names tell their content. */
    private ByteString chunks(ReadChunks read) {
        WatchAnswer.Builder answer = WatchAnswer.newBuilder();
        for (ChunkName name : Manifest.decodeNames(read.getNames())) {
            if (answer.getChunksCount() == MAXIMUM_CHUNKS) {
                break;
            }
            chunks.find(name, () -> state.changesAfter(0).items()).ifPresent(answer::addChunks);
        }
        return answer.build().toByteString();
    }

    /** Logs that an answer brings a VM a published document: one line for each VM and document. */
    private static void logDocument(Watch watch, ControlState.Changes changes, long confirmationNanos) {
        changes.items().stream()
                .filter(Item::hasDocument)
                .forEach(item -> LOGGER.info(
                        "event=publication-sent to={} number={} version={} from_version={} confirmation_ms={} bytes={}",
                        watch.getVm().getName(),
                        item.getDocument().getNumber(),
                        item.getVersion(),
                        watch.getVersion(),
                        TimeUnit.NANOSECONDS.toMillis(confirmationNanos),
                        item.getSerializedSize()));
    }

    private CompletionStage<WatchAnswer> read(WatchRequest request) {
        return confirmation.confirm().thenApply(confirmed -> {
            WatchAnswer.Builder answer = WatchAnswer.newBuilder().setConfirmed(confirmed);
            // Only the revision of the result is used.
            answer.setRevision(state.changesAfter(state.version()).revision());
            if (request.hasReadServed()) {
                addServed(answer);
            } else if (request.hasReadTree()) {
                state.tree(request.getReadTree().getRevision()).ifPresent(answer::setTree);
            } else if (request.hasReadKeys()) {
                answer.addAllKeys(state.keys());
            } else {
                answer.addAllRevisions(state.revisions());
            }
            return answer.build();
        });
    }

    /**
     * Adds the revisions served by the watching VMs. A registered VM without a watch here, or whose last one is older
     * than the retention, is reported with revision zero, as last seen when this service was created.
     */
    private void addServed(WatchAnswer.Builder answer) {
        long nowNanos = clock.nanoTime();
        watchers.values().removeIf(watcher -> nowNanos - watcher.seenAtNanos() > WATCHER_RETENTION.toNanos());
        Map<String, Watcher> servedByName = new HashMap<>();
        state.vms().forEach(vm -> servedByName.put(vm.getName(), new Watcher(vm, 0, startedAtNanos)));
        servedByName.putAll(watchers);
        servedByName
                .values()
                .forEach(watcher -> answer.addServed(Served.newBuilder()
                        .setVm(watcher.vm().getName())
                        .setZone(watcher.vm().getZone())
                        .setRevision(watcher.revision())
                        .setAgeMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos - watcher.seenAtNanos()))));
    }

    /** Registers a VM whose record is missing or differs, unless its registration is in progress. */
    private void register(VmRecord vm) {
        boolean isKnown = state.vm(vm.getName()).map(vm::equals).orElse(false);
        if (isKnown || !registering.add(vm.getName())) {
            return;
        }
        Command.Builder command =
                Command.newBuilder().setRegisterVm(RegisterVm.newBuilder().setVm(vm));
        client.submit(command, Deadline.after(clock.nanoTime(), REGISTRATION_TIMEOUT))
                .whenComplete((submission, failure) -> registering.remove(vm.getName()));
    }

    /**
     * Completes the waits of the watches of other versions than the current one. A registration of an entry completes
     * only those of control VMs, which send to the registered VMs; an entry learns of it when its wait ends anyway.
     * Otherwise each of the VMs that start together would wake all others.
     */
    private void endOutdatedWaits() {
        long version = state.version();
        ControlState.Changes changes = state.changesAfter(examinedVersion.getAndSet(version));
        boolean isOnlyRegistration = !changes.full()
                && changes.items().stream()
                        .allMatch(item -> item.hasVm() && !item.getVm().getControl());
        pendingWatches.stream()
                .filter(pending -> pending.version() != version && (pending.isControl() || !isOnlyRegistration))
                .forEach(this::endWait);
    }

    private void endWait(PendingWatch pending) {
        pendingWatches.remove(pending);
        pending.done().complete(null);
    }

    private record PendingWatch(long version, boolean isControl, CompletableFuture<Void> done) {}

    private record Watcher(VmRecord vm, long revision, long seenAtNanos) {}
}
