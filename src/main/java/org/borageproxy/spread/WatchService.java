package org.borageproxy.spread;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlState;
import org.borageproxy.control.Timer;
import org.borageproxy.log.ReplicatedLog;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.RegisterVm;
import org.borageproxy.wire.proto.ControlProtocol.Served;
import org.borageproxy.wire.proto.ControlProtocol.VmRecord;
import org.borageproxy.wire.proto.ControlProtocol.Watch;
import org.borageproxy.wire.proto.ControlProtocol.WatchAnswer;
import org.borageproxy.wire.proto.ControlProtocol.WatchRequest;

/**
 * Answers on a control VM what has changed, and reads of operators. Every answer says whether the leader confirmed with
 * a majority, after the request arrived, that it is current. Safe for use by any thread.
 */
public final class WatchService implements VmNetwork.Handler {

    /** The longest time that a request waits for a change, in milliseconds. */
    private static final int GREATEST_WAIT_MILLIS = 1000;

    /** The time to register a VM. */
    private static final Duration REGISTRATION = Duration.ofMillis(3000);

    /** The time after which a VM that does not watch any more is forgotten. */
    private static final Duration MEMORY = Duration.ofMinutes(10);

    /** The state of the control group. */
    private final ControlState state;

    /** Confirms reads. */
    private final ReadConfirmation confirmation;

    /** Registers VMs. */
    private final ControlClient client;

    /** The clock. */
    private final MonotonicClock clock;

    /** Ends waits. */
    private final Timer timer;

    /** When this process started, on the monotonic clock. */
    private final long startedAtNanos;

    /** The requests that wait for a change. */
    private final Set<Waiter> waiters = ConcurrentHashMap.newKeySet();

    /** What the VMs serve that watch here. */
    private final Map<String, Watcher> watchers = new ConcurrentHashMap<>();

    /** The names of the VMs that are being registered. */
    private final Set<String> registering = ConcurrentHashMap.newKeySet();

    /**
     * Creates a service.
     *
     * @param log this VM's member of the control group
     * @param state the state that the log replicates
     * @param client registers VMs
     * @param clock the clock
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
        state.subscribe(this::wake);
    }

    @Override
    public CompletionStage<ByteString> handle(VmName sender, ByteString body) {
        WatchRequest request;
        try {
            request = WatchRequest.parseFrom(body);
        } catch (InvalidProtocolBufferException exception) {
            return CompletableFuture.failedFuture(exception);
        }
        CompletionStage<WatchAnswer> answer = request.hasWatch() ? watch(request.getWatch()) : read(request);
        return answer.thenApply(WatchAnswer::toByteString);
    }

    /**
     * Answers a watch once something has changed or its wait is over.
     *
     * @param watch the request
     * @return the answer
     */
    private CompletionStage<WatchAnswer> watch(Watch watch) {
        VmRecord vm = watch.getVm();
        watchers.put(vm.getName(), new Watcher(vm, watch.getServedRevision(), clock.nanoTime()));
        Waiter waiter = new Waiter(watch.getVersion(), new CompletableFuture<>());
        int waitMillis = Math.min(watch.getWaitMillis(), GREATEST_WAIT_MILLIS);
        waiters.add(waiter);
        if (waitMillis == 0 || state.version() != watch.getVersion()) {
            finish(waiter);
        } else {
            timer.schedule(Duration.ofMillis(waitMillis), () -> finish(waiter));
        }
        return waiter.done()
                .thenCompose(ignored -> confirmation.confirm())
                .thenApply(confirmed -> changes(watch, confirmed));
    }

    /**
     * Returns what a VM lacks.
     *
     * @param watch the request
     * @param confirmed whether the state is current
     * @return the answer
     */
    private WatchAnswer changes(Watch watch, boolean confirmed) {
        if (!confirmed) {
            return WatchAnswer.getDefaultInstance();
        }
        register(watch.getVm());
        ControlState.Changes changes = state.changesAfter(watch.getVersion());
        return WatchAnswer.newBuilder()
                .setConfirmed(true)
                .setVersion(changes.version())
                .setRevision(changes.revision())
                .setFull(changes.full())
                .addAllItems(changes.items())
                .build();
    }

    /**
     * Answers a read.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<WatchAnswer> read(WatchRequest request) {
        return confirmation.confirm().thenApply(confirmed -> {
            WatchAnswer.Builder answer = WatchAnswer.newBuilder().setConfirmed(confirmed);
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
     * Adds what the VMs serve that watch here. A registered VM that has not watched here since this process started
     * counts as seen at the start, serving nothing.
     *
     * @param answer the answer
     */
    private void addServed(WatchAnswer.Builder answer) {
        long nowNanos = clock.nanoTime();
        watchers.values().removeIf(watcher -> nowNanos - watcher.seenAtNanos() > MEMORY.toNanos());
        Map<String, Watcher> known = new HashMap<>();
        state.vms().forEach(vm -> known.put(vm.getName(), new Watcher(vm, 0, startedAtNanos)));
        known.putAll(watchers);
        known.values()
                .forEach(watcher -> answer.addServed(Served.newBuilder()
                        .setVm(watcher.vm().getName())
                        .setZone(watcher.vm().getZone())
                        .setRevision(watcher.revision())
                        .setAgeMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos - watcher.seenAtNanos()))));
    }

    /**
     * Registers a VM whose record is missing or differs.
     *
     * @param vm the VM
     */
    private void register(VmRecord vm) {
        boolean isKnown = state.vm(vm.getName()).map(vm::equals).orElse(false);
        if (isKnown || !registering.add(vm.getName())) {
            return;
        }
        Command.Builder command =
                Command.newBuilder().setRegisterVm(RegisterVm.newBuilder().setVm(vm));
        client.submit(command, Deadline.after(clock.nanoTime(), REGISTRATION))
                .whenComplete((submission, failure) -> registering.remove(vm.getName()));
    }

    /** Ends the waits of all requests that the state has gone past. */
    private void wake() {
        long version = state.version();
        waiters.stream().filter(waiter -> waiter.version() != version).forEach(this::finish);
    }

    /**
     * Ends a wait.
     *
     * @param waiter the request that waits
     */
    private void finish(Waiter waiter) {
        waiters.remove(waiter);
        waiter.done().complete(null);
    }

    /**
     * A request that waits for a change.
     *
     * @param version the version that the VM holds
     * @param done completes when the wait is over
     */
    private record Waiter(long version, CompletableFuture<Void> done) {}

    /**
     * A VM that watches here.
     *
     * @param vm the VM
     * @param revision the revision that it served at its last request
     * @param seenAtNanos when it was seen last, on the monotonic clock
     */
    private record Watcher(VmRecord vm, long revision, long seenAtNanos) {}
}
