package org.borageproxy.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
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
 * Reports an entry's usage to the coordinator periodically, and earlier on request. Discovers the coordinator by trying
 * the control VMs in turn and following their redirects. At most one report is in flight; a report to a VM that is no
 * longer the coordinator is abandoned, and its answer ignored, when a notice of another coordinator arrives. All
 * methods and callbacks run on one event loop.
 */
public final class CoordinationClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(CoordinationClient.class);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(120);
    /** Interval after a report without usage; shorter than the validity of grants, which each report renews. */
    private static final Duration IDLE_REPORT_INTERVAL = Duration.ofMillis(250);
    /** Minimum interval between urgent reports, so that a burst of requests does not flood the coordinator. */
    private static final Duration URGENT_REPORT_INTERVAL = Duration.ofMillis(15);
    /** Period after its last update for which a coordinator counts as reachable. */
    private static final Duration COORDINATOR_VALIDITY = Duration.ofMillis(400);

    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);

    private final VmNetwork network;
    private final Supplier<List<VmName>> controlVms;
    private final MonotonicClock clock;
    private final Timer timer;
    private final Executor eventLoop;
    private final Supplier<UsageReport> reportSource;
    private final BiConsumer<CoordinationUpdate, Long> updateListener;
    private Runnable unansweredListener = () -> {};
    private VmName coordinator;
    /** The VM to which the report in flight was sent. */
    private VmName reportedTo;

    private int nextCandidate;
    private boolean isReportInFlight;
    private boolean isIdle;
    private boolean isUrgentReportPending;
    private boolean isRunning;
    private boolean hadCoordinator;
    private Deadline nextUrgentReportAt;
    private Deadline reachableUntil;
    private long lastRound;

    /**
     * Creates a client.
     *
     * @param network transport to the control VMs
     * @param controlVms supplies the current control VMs; may be empty
     * @param clock the clock
     * @param timer schedules reports
     * @param eventLoop runs all callbacks
     * @param reportSource builds each report when it is sent
     * @param updateListener receives each update with the clock reading, in nanoseconds, at which the answered report
     *     was built; for an unsolicited notice, that of its receipt
     */
    public CoordinationClient(
            VmNetwork network,
            Supplier<List<VmName>> controlVms,
            MonotonicClock clock,
            Timer timer,
            Executor eventLoop,
            Supplier<UsageReport> reportSource,
            BiConsumer<CoordinationUpdate, Long> updateListener) {
        this.network = network;
        this.controlVms = controlVms;
        this.clock = clock;
        this.timer = timer;
        this.eventLoop = eventLoop;
        this.reportSource = reportSource;
        this.updateListener = updateListener;
        this.nextUrgentReportAt = new Deadline(clock.nanoTime());
        this.reachableUntil = nextUrgentReportAt;
        network.registerHandler(MessageKind.COORDINATION_NOTICE, (sender, body) -> {
            eventLoop.execute(() -> handleNotice(sender, body));
            return CompletableFuture.completedFuture(ByteString.EMPTY);
        });
    }

    /**
     * Returns the coordinator. After a redirect, this is the VM that the redirect names, even before it answers.
     *
     * @return empty if no coordinator has sent an update within the validity period
     */
    public Optional<VmName> coordinator() {
        boolean isReachable = hadCoordinator && !reachableUntil.hasPassed(clock.nanoTime());
        return isReachable ? Optional.ofNullable(coordinator) : Optional.empty();
    }

    /**
     * Sets the action to run when a report was not answered in time.
     *
     * @param listener makes this VM decide by itself
     */
    public void onUnanswered(Runnable listener) {
        unansweredListener = listener;
    }

    /** Sends the first report and schedules periodic reports. */
    public void start() {
        isRunning = true;
        report();
    }

    /** Stops scheduling reports; the answer to a report in flight is still processed. */
    public void stop() {
        isRunning = false;
    }

    /** Sends the next report as soon as the minimum interval between urgent reports permits. */
    public void requestUrgentReport() {
        if (isReportInFlight) {
            isUrgentReportPending = true;
            return;
        }
        long nowNanos = clock.nanoTime();
        if (nextUrgentReportAt.hasPassed(nowNanos)) {
            report();
        } else if (!isUrgentReportPending) {
            isUrgentReportPending = true;
            schedule(Duration.ofNanos(nextUrgentReportAt.remainingNanos(nowNanos)));
        }
    }

    private void schedule(Duration delay) {
        long scheduledRound = lastRound;
        timer.schedule(
                delay,
                () -> eventLoop.execute(() -> {
                    if (scheduledRound == lastRound && !isReportInFlight) {
                        report();
                    }
                }));
    }

    private void report() {
        List<VmName> candidates = controlVms.get();
        lastRound++;
        isUrgentReportPending = false;
        if (candidates.isEmpty()) {
            schedule(REPORT_INTERVAL);
            return;
        }
        VmName target =
                coordinator != null ? coordinator : candidates.get(Math.floorMod(nextCandidate, candidates.size()));
        isReportInFlight = true;
        reportedTo = target;
        try {
            send(target);
        } catch (RuntimeException | Error exception) {
            LOGGER.error("event=report-failed vm={}", target, exception);
            isReportInFlight = false;
            schedule(REPORT_INTERVAL);
        }
    }

    private void send(VmName target) {
        long round = lastRound;
        long reportedAtNanos = clock.nanoTime();
        nextUrgentReportAt = Deadline.after(reportedAtNanos, URGENT_REPORT_INTERVAL);
        UsageReport report = reportSource.get();
        isIdle = report.getServersCount() == 0 && report.getWorkspacesCount() == 0 && report.getDemandsCount() == 0;
        network.request(
                        target,
                        MessageKind.COORDINATION,
                        report.toByteString(),
                        Deadline.after(reportedAtNanos, REPORT_TIMEOUT))
                .whenComplete((body, failure) -> eventLoop.execute(() -> {
                    if (round == lastRound) {
                        handleAnswer(target, body, failure, reportedAtNanos);
                    }
                }));
    }

    /**
     * Handles an unsolicited update. If a report to another VM is in flight, the next report to the new coordinator
     * follows within a report interval, after a random delay, since all entries get the notice at the same time.
     */
    private void handleNotice(VmName sender, ByteString body) {
        boolean isCoordinator = handleUpdate(sender, body, clock.nanoTime());
        if (isCoordinator && isReportInFlight && !sender.equals(reportedTo)) {
            isReportInFlight = false;
            lastRound++;
            if (isRunning) {
                long delayMillis = ThreadLocalRandom.current()
                        .nextLong(URGENT_REPORT_INTERVAL.toMillis(), REPORT_INTERVAL.toMillis());
                schedule(Duration.ofMillis(delayMillis));
            }
        }
    }

    private void handleAnswer(VmName target, ByteString body, Throwable failure, long reportedAtNanos) {
        isReportInFlight = false;
        boolean isCoordinator = false;
        try {
            isCoordinator = failure == null && handleUpdate(target, body, reportedAtNanos);
        } catch (RuntimeException | Error exception) {
            LOGGER.error("event=update-failed vm={}", target, exception);
        }
        if (failure != null) {
            coordinator = null;
            nextCandidate++;
            unansweredListener.run();
        }
        if (!isCoordinator && hadCoordinator && coordinator == null) {
            hadCoordinator = false;
            LOGGER.warn("event=coordinator-lost vm={}", target);
        }
        if (!isRunning) {
            return;
        }
        boolean isRedirected = !isCoordinator && coordinator != null;
        if (isUrgentReportPending || isRedirected) {
            schedule(URGENT_REPORT_INTERVAL);
        } else {
            schedule(isCoordinator && isIdle ? IDLE_REPORT_INTERVAL : REPORT_INTERVAL);
        }
    }

    private boolean handleUpdate(VmName sender, ByteString body, long reportedAtNanos) {
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
            reachableUntil = Deadline.after(clock.nanoTime(), COORDINATOR_VALIDITY);
            updateListener.accept(update, reportedAtNanos);
            return true;
        }
        boolean isHint =
                !update.getCoordinator().isEmpty() && !update.getCoordinator().equals(sender.value());
        coordinator = isHint ? new VmName(update.getCoordinator()) : null;
        nextCandidate++;
        return false;
    }
}
