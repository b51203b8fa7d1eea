package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.borageproxy.membership.BackendServerName;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerSelector;

/**
 * Looks for the server of a request on this VM alone, and waits for one: for plain services, and for engines while the
 * coordinator is silent. Used by one event loop only.
 */
final class LocalSearch {

    /** How long a request waits for an adapter that can be loaded. */
    private static final Duration ADAPTER_WAIT = Duration.ofMillis(700);
    /** How long a request waits for a server of its service to appear. */
    private static final Duration SERVER_WAIT = Duration.ofMillis(250);
    /** The part of the time to its objective that a request waits for capacity. */
    private static final double CAPACITY_PATIENCE = 0.55;
    /** How many VMs are assumed to have queues of the same length. */
    private static final int ASSUMED_QUEUES = 4;

    private final ForwardContext parts;
    private final BufferedRequest held;
    private final RequestLog log;
    private final Set<BackendServerName> tried;
    private final Listener outcome;
    private final Runnable lookAgain = this::lookAgain;
    private Optional<RequestQueue.QueuedRequest> waiting = Optional.empty();
    private ScheduledFuture<?> timer;
    private boolean isAbsent;

    /** Takes what a search found. */
    interface Listener {

        /**
         * Takes a server that can run the request now.
         *
         * @param chosen the server
         */
        void onChosen(ServerSelector.Choice chosen);

        /**
         * Takes the reason why no server runs the request.
         *
         * @param reason the reason
         */
        void onNotFound(RefusalReason reason);
    }

    LocalSearch(
            ForwardContext parts,
            BufferedRequest held,
            RequestLog log,
            Set<BackendServerName> tried,
            Listener outcome) {
        this.parts = parts;
        this.held = held;
        this.log = log;
        this.tried = tried;
        this.outcome = outcome;
    }

    /** Looks for a server; the outcome may come before this returns. */
    void search() {
        Optional<ServerSelector.Choice> chosen = parts.pool()
                .choose(held.service(), held.engines(), held.metadata().work(), tried);
        if (chosen.isPresent()) {
            stop();
            outcome.onChosen(chosen.get());
            return;
        }
        ServerPool.Unavailability absence =
                parts.pool().unavailability(held.service(), held.metadata().work(), tried);
        switch (absence) {
            case ALL_TRIED -> outcome.onNotFound(RefusalReason.REFUSED_BY_SERVERS);
            case NO_SERVER -> waitOrRefuse(RefusalReason.NO_SERVER, absence, SERVER_WAIT);
            case NO_ADAPTER -> waitOrRefuse(RefusalReason.MODEL_ABSENT, absence, ADAPTER_WAIT);
            case CROWDED -> waitOrRefuse(RefusalReason.NO_CAPACITY, absence, capacityWait());
            default -> waitOrRefuse(RefusalReason.MODEL_ABSENT, absence, modelWait());
        }
    }

    private Duration modelWait() {
        long untilObjective =
                held.objectiveDeadline().remainingNanos(parts.clock().nanoTime());
        return Duration.ofNanos(untilObjective / 2);
    }

    /** A request waits for capacity only while it can still be on time, and not at all behind too long a queue. */
    private Duration capacityWait() {
        EngineWork work = held.metadata().work().orElseThrow();
        double rate = parts.pool().prefillTokensPerMillisecond(held.service(), work.model());
        double aheadMillis = parts.pool().queuedTokensAhead(asWaiting()) * ASSUMED_QUEUES / Math.max(0.1, rate);
        long leftMillis = held.objectiveDeadline().remainingMillis(parts.clock().nanoTime());
        long patience = (long) (leftMillis * CAPACITY_PATIENCE);
        return aheadMillis > patience ? Duration.ZERO : Duration.ofMillis(patience);
    }

    private RequestQueue.QueuedRequest asWaiting() {
        return new RequestQueue.QueuedRequest(
                held.urgency(), held.objectiveDeadline(), held.metadata().work().orElseThrow(), lookAgain);
    }

    private void waitOrRefuse(RefusalReason reason, ServerPool.Unavailability absence, Duration longest) {
        if (waiting.isPresent()) {
            return;
        }
        log.noServer(absence, tried.size());
        if (held.metadata().work().isEmpty() || longest.isZero()) {
            outcome.onNotFound(reason);
            return;
        }
        isAbsent = absence != ServerPool.Unavailability.CROWDED;
        waiting = Optional.of(asWaiting());
        timer = parts.eventLoop().schedule(() -> outcome.onNotFound(reason), longest.toNanos(), TimeUnit.NANOSECONDS);
        parts.pool().enqueue(held.service(), waiting.get(), isAbsent);
    }

    private void lookAgain() {
        if (waiting.isPresent()) {
            search();
        }
    }

    /** Ends the wait, if there is one. */
    void stop() {
        waiting.ifPresent(request -> {
            timer.cancel(false);
            parts.pool().dequeue(held.service(), request, isAbsent);
        });
        waiting = Optional.empty();
    }
}
