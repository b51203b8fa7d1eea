package org.borageproxy.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.control.Timer;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.CoordinationUpdate;
import org.borageproxy.wire.proto.CoordinationProtocol.UsageReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports an entry's usage to the coordinator in regular intervals, and at once when a request waits for a model. Finds
 * the coordinator by asking control VMs in turn. All methods and callbacks run on one event loop.
 */
public final class CoordinationClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(CoordinationClient.class);
    /** The time between two reports. */
    private static final Duration INTERVAL = Duration.ofMillis(120);
    /** The time between two urgent reports. */
    private static final Duration URGENT_INTERVAL = Duration.ofMillis(15);
    /** How long after its last answer a coordinator counts as reachable. */
    private static final Duration HEARD = Duration.ofMillis(400);
    /** The time allowed to an answer. */
    private static final Duration PATIENCE = Duration.ofMillis(400);

    private final VmNetwork network;
    private final Supplier<List<VmName>> controlVms;
    private final MonotonicClock clock;
    private final Timer timer;
    private final Executor eventLoop;
    private final Supplier<UsageReport> reports;
    private final BiConsumer<CoordinationUpdate, Long> updates;
    private VmName coordinator;
    private int position;
    private boolean isUnderWay;
    private boolean isUrgent;
    private boolean isRunning;
    private boolean hadCoordinator;
    private Deadline nextUrgentAt;
    private Deadline heardUntil;
    private long round;

    /**
     * Creates a client.
     *
     * @param network reaches the control VMs
     * @param controlVms the control VMs
     * @param clock the clock
     * @param timer runs tasks later
     * @param eventLoop runs all callbacks
     * @param reports makes the reports
     * @param updates takes each update and the reading of the clock when its report was made
     */
    public CoordinationClient(
            VmNetwork network,
            Supplier<List<VmName>> controlVms,
            MonotonicClock clock,
            Timer timer,
            Executor eventLoop,
            Supplier<UsageReport> reports,
            BiConsumer<CoordinationUpdate, Long> updates) {
        this.network = network;
        this.controlVms = controlVms;
        this.clock = clock;
        this.timer = timer;
        this.eventLoop = eventLoop;
        this.reports = reports;
        this.updates = updates;
        this.nextUrgentAt = new Deadline(clock.nanoTime());
        this.heardUntil = nextUrgentAt;
        network.handle(MessageKind.COORDINATION_NOTICE, (sender, body) -> {
            eventLoop.execute(() -> take(sender, body, clock.nanoTime()));
            return CompletableFuture.completedFuture(ByteString.EMPTY);
        });
    }

    /**
     * Returns the coordinator.
     *
     * @return empty while none answers
     */
    public Optional<VmName> coordinator() {
        boolean isHeard = hadCoordinator && !heardUntil.hasPassed(clock.nanoTime());
        return isHeard ? Optional.ofNullable(coordinator) : Optional.empty();
    }

    /** Begins to report. */
    public void start() {
        isRunning = true;
        report();
    }

    /** Ends reporting. */
    public void stop() {
        isRunning = false;
    }

    /** Reports soon, since a request waits for the coordinator. */
    public void requestUrgentReport() {
        if (isUnderWay) {
            isUrgent = true;
            return;
        }
        long nowNanos = clock.nanoTime();
        if (nextUrgentAt.hasPassed(nowNanos)) {
            report();
        } else if (!isUrgent) {
            isUrgent = true;
            schedule(Duration.ofNanos(nextUrgentAt.remainingNanos(nowNanos)));
        }
    }

    private void schedule(Duration delay) {
        long scheduled = round;
        timer.schedule(
                delay,
                () -> eventLoop.execute(() -> {
                    if (scheduled == round && !isUnderWay) {
                        report();
                    }
                }));
    }

    private void report() {
        List<VmName> candidates = controlVms.get();
        round++;
        isUrgent = false;
        if (candidates.isEmpty()) {
            schedule(INTERVAL);
            return;
        }
        VmName target = coordinator != null ? coordinator : candidates.get(Math.floorMod(position, candidates.size()));
        isUnderWay = true;
        long madeAtNanos = clock.nanoTime();
        nextUrgentAt = Deadline.after(madeAtNanos, URGENT_INTERVAL);
        network.request(
                        target,
                        MessageKind.COORDINATION,
                        reports.get().toByteString(),
                        Deadline.after(madeAtNanos, PATIENCE))
                .whenComplete((body, failure) -> eventLoop.execute(() -> answered(target, body, failure, madeAtNanos)));
    }

    private void answered(VmName target, ByteString body, Throwable failure, long madeAtNanos) {
        isUnderWay = false;
        boolean coordinates = failure == null && take(target, body, madeAtNanos);
        if (failure != null) {
            coordinator = null;
            position++;
        }
        if (!coordinates && hadCoordinator && coordinator == null) {
            hadCoordinator = false;
            LOGGER.warn("event=coordinator-lost vm={}", target);
        }
        if (!isRunning) {
            return;
        }
        boolean isRedirected = !coordinates && coordinator != null;
        schedule(isUrgent || isRedirected ? URGENT_INTERVAL : INTERVAL);
    }

    private boolean take(VmName sender, ByteString body, long madeAtNanos) {
        CoordinationUpdate update;
        try {
            update = CoordinationUpdate.parseFrom(body);
        } catch (InvalidProtocolBufferException exception) {
            LOGGER.warn("event=coordination-malformed vm={}", sender);
            update = CoordinationUpdate.getDefaultInstance();
        }
        if (update.getCoordinates()) {
            if (!hadCoordinator) {
                hadCoordinator = true;
                LOGGER.info("event=coordinator-found vm={}", sender);
            }
            coordinator = sender;
            heardUntil = Deadline.after(clock.nanoTime(), HEARD);
            updates.accept(update, madeAtNanos);
            return true;
        }
        boolean isHint =
                !update.getCoordinator().isEmpty() && !update.getCoordinator().equals(sender.value());
        coordinator = isHint ? new VmName(update.getCoordinator()) : null;
        position++;
        return false;
    }
}
