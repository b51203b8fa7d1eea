package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.borageproxy.membership.BackendServerName;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.scheduling.RequestCost;
import org.borageproxy.scheduling.WaitingRequest;
import org.borageproxy.time.Deadline;

/**
 * Selects the server of a request without the coordinator: for plain services, and for model engines while the
 * coordinator does not answer. Requests for engines wait until a server is available, for a limited time. Not thread
 * safe; confined to one event loop.
 */
final class LocalSearch {

    /** Maximum wait for an adapter whose model is loaded. */
    private static final Duration MAX_ADAPTER_WAIT = Duration.ofMillis(700);
    /** Maximum wait for a server of the service. */
    private static final Duration MAX_SERVER_WAIT = Duration.ofMillis(250);
    /** Number of VMs assumed to have queues of the same length, since those of other VMs are not visible here. */
    private static final int ASSUMED_QUEUES = 4;

    private final ForwardContext context;
    private final BufferedRequest buffered;
    private final RequestLog log;
    private final Set<BackendServerName> triedServers;
    private final Supplier<Optional<StreamOrigin>> origin;
    private final Consumer<ServerSelector.Choice> chosenListener;
    private final Consumer<RefusalReason> notFoundListener;
    private final Runnable searchAgain = this::searchAgain;
    private Optional<WaitingRequest> queuedRequest = Optional.empty();
    private ScheduledFuture<?> timer;
    private boolean isModelMissing;

    /**
     * Creates a search that has not begun.
     *
     * @param context the collaborators of forwarding
     * @param buffered the request
     * @param log the log lines of the request
     * @param triedServers the servers that must not be selected again
     * @param origin supplies what began the stream that the request continues
     * @param chosenListener receives a server that can run the request now
     * @param notFoundListener receives the reason if no server can run the request, after the wait if there was one
     */
    LocalSearch(
            ForwardContext context,
            BufferedRequest buffered,
            RequestLog log,
            Set<BackendServerName> triedServers,
            Supplier<Optional<StreamOrigin>> origin,
            Consumer<ServerSelector.Choice> chosenListener,
            Consumer<RefusalReason> notFoundListener) {
        this.context = context;
        this.buffered = buffered;
        this.log = log;
        this.triedServers = triedServers;
        this.origin = origin;
        this.chosenListener = chosenListener;
        this.notFoundListener = notFoundListener;
    }

    /** Selects a server or starts to wait for one; a listener may be called before this method returns. */
    void search() {
        Set<BackendServerName> excludedServers = context.refusals().refusing();
        excludedServers.addAll(triedServers);
        ServerRequirement requirement = buffered.requirement(excludedServers, origin.get());
        WaitingRequest request = queuedRequest.orElseGet(() -> newWaitingRequest(requirement));
        boolean isFirst = queuedRequest.isPresent()
                || context.pool().waiting().firstBefore(request).isEmpty();
        Optional<ServerSelector.Choice> choice = isFirst ? context.pool().choose(requirement) : Optional.empty();
        if (choice.isPresent()) {
            stop();
            context.pool().waiting().recordStart(request);
            context.pool().statements().acquirePermit(choice.get().server());
            chosenListener.accept(choice.get());
            return;
        }
        ServerPool.Unavailability unavailability = context.pool().unavailability(requirement);
        switch (unavailability) {
            case ALL_TRIED -> notFoundListener.accept(RefusalReason.REFUSED_BY_SERVERS);
            case NO_SERVER -> waitOrRefuse(request, RefusalReason.NO_SERVER, unavailability, serverWait());
            case NO_ADAPTER -> waitOrRefuse(request, RefusalReason.MODEL_ABSENT, unavailability, MAX_ADAPTER_WAIT);
            case CROWDED, LIMITED ->
                waitOrRefuse(request, RefusalReason.NO_CAPACITY, unavailability, capacityWait(request));
            default -> waitOrRefuse(request, RefusalReason.MODEL_ABSENT, unavailability, modelWait());
        }
    }

    private Duration serverWait() {
        boolean areRuledOut = context.pool().availability().areRuledOut(buffered.service(), buffered.allowedRegions());
        return areRuledOut ? Duration.ZERO : MAX_SERVER_WAIT;
    }

    private Duration modelWait() {
        long untilObjective =
                buffered.objectiveDeadline().remainingNanos(context.clock().nanoTime());
        return Duration.ofNanos(untilObjective / 2);
    }

    /** Returns zero if the request is expected to begin too late to end before its deadline. */
    private Duration capacityWait(WaitingRequest request) {
        double servers = context.pool()
                .nominalServers(buffered.service(), buffered.metadata().work());
        Deadline expectedStart = context.pool().waiting().expectedStart(request, ASSUMED_QUEUES, servers);
        return context.pool()
                .waiting()
                .decide(request, expectedStart)
                .waitUntil()
                .map(until ->
                        Duration.ofNanos(until.remainingNanos(context.clock().nanoTime())))
                .orElse(Duration.ZERO);
    }

    private WaitingRequest newWaitingRequest(ServerRequirement requirement) {
        long nowNanos = context.clock().nanoTime();
        RequestCost.Times times = new RequestCost.Times(
                nowNanos,
                Duration.ofNanos(nowNanos - buffered.arrivedAtNanos()),
                Duration.ofNanos(buffered.objectiveDeadline().remainingNanos(nowNanos)),
                Duration.ofNanos(buffered.deadline().remainingNanos(nowNanos)));
        String workspace = buffered.workspace().map(PublishedWorkspace::name).orElse("");
        return new WaitingRequest(
                requirement.lane(),
                RequestCost.of(
                        buffered.urgency(),
                        false,
                        workspace,
                        buffered.metadata().work(),
                        times),
                buffered.metadata().requestIdentity(),
                searchAgain);
    }

    private void waitOrRefuse(
            WaitingRequest request,
            RefusalReason reason,
            ServerPool.Unavailability unavailability,
            Duration maximumWait) {
        if (queuedRequest.isPresent()) {
            return;
        }
        log.noServer(unavailability, triedServers.size());
        boolean mayWait = buffered.metadata().work().isPresent() || unavailability == ServerPool.Unavailability.CROWDED;
        if (!mayWait || maximumWait.isZero()) {
            notFoundListener.accept(reason);
            return;
        }
        isModelMissing = unavailability != ServerPool.Unavailability.CROWDED
                && unavailability != ServerPool.Unavailability.LIMITED;
        queuedRequest = Optional.of(request);
        timer = context.eventLoop()
                .schedule(() -> notFoundListener.accept(reason), maximumWait.toNanos(), TimeUnit.NANOSECONDS);
        context.pool().enqueue(request, buffered.metadata().work(), isModelMissing);
    }

    private void searchAgain() {
        if (queuedRequest.isPresent()) {
            search();
        }
    }

    /** Ends the wait, if there is one; no listener is called. */
    void stop() {
        queuedRequest.ifPresent(request -> {
            timer.cancel(false);
            context.pool().dequeue(request, buffered.metadata().work(), isModelMissing);
        });
        queuedRequest = Optional.empty();
    }
}
