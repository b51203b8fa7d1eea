package org.borageproxy.execution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.borageproxy.membership.BackendServer;

/**
 * Finds out whether backend servers ended during one request, and reports it to the fleet. From its first cut on the
 * request must run alone; after the second it is not run again. Confined to the request's event loop.
 */
final class CrashTracker {

    /** The largest number of connections that one request may see cut. */
    private static final int MAXIMUM_CUTS = 2;
    /** The time in which a report of a crash must become durable. */
    private static final Duration REPORT_TIME = Duration.ofSeconds(2);
    /** The probes of a server whose connection was cut; a process that dies on a busy VM listens on for a while. */
    private static final int MOST_PROBES = 3;
    /** The pause between two probes. */
    private static final Duration PROBE_PAUSE = Duration.ofMillis(250);

    /** What the execution needs of its surroundings. */
    private final ExecutionDependencies services;
    /** The request. */
    private final ExecutionRequest request;
    /** What the probes find, one for each cut. */
    private final List<Future<Void>> verdicts = new ArrayList<>();
    /** The connections that were cut during the request. */
    private int cuts;
    /** What the fleet answered to the last report, which may be ahead of this VM's view. */
    private Suspicion reported = Suspicion.NONE;

    /**
     * Creates a watch over a request that has not run.
     *
     * @param services what the execution needs of its surroundings
     * @param request the request
     */
    CrashTracker(ExecutionDependencies services, ExecutionRequest request) {
        this.services = services;
        this.request = request;
    }

    /**
     * Tells whether the request must not run any more.
     *
     * @return {@code true} if the fleet has quarantined it
     */
    boolean isQuarantined() {
        return reported == Suspicion.QUARANTINED || known() == Suspicion.QUARANTINED;
    }

    /**
     * Tells whether the request must run alone.
     *
     * @return {@code true} if a connection was cut during it, here or on another VM
     */
    boolean mustRunAlone() {
        return cuts > 0 || known() == Suspicion.SUSPECT;
    }

    /**
     * Tells whether the request has seen as many cuts as one request may.
     *
     * @return {@code true} if it must not be tried again
     */
    boolean hasReachedLossLimit() {
        return cuts >= MAXIMUM_CUTS;
    }

    /** Clears the suspicion of a request that was answered. */
    void onAnswered() {
        if (cuts > 0 || known() != Suspicion.NONE) {
            services.crashes().reportAnswered(request.fingerprint());
        }
    }

    /**
     * Returns what this VM knows of the request.
     *
     * @return the suspicion
     */
    private Suspicion known() {
        return services.crashes().suspicion(request.fingerprint());
    }

    /**
     * Finds out whether a backend server ended during the request and reports it. After the last cut that the request
     * may see, it waits for all verdicts, so that no further request runs before the fleet knows.
     *
     * @param server the backend server whose connection was cut
     * @param exclusive whether the attempt ran alone
     * @return completes when the report is durable, or needless, or late
     */
    Future<Void> onConnectionLost(BackendServer server, boolean exclusive) {
        cuts++;
        boolean alone = exclusive && server.load().running() <= 1;
        Promise<Void> firstProbe = Promise.promise();
        Future<Void> verdict = probe(server, alone, 1, firstProbe).onComplete(known -> firstProbe.tryComplete());
        verdicts.add(verdict);
        return hasReachedLossLimit() ? Future.join(verdicts).mapEmpty() : firstProbe.future();
    }

    private Future<Void> probe(BackendServer server, boolean alone, int number, Promise<Void> firstProbe) {
        return services.probe().hasStopped(server).transform(probed -> {
            if (Boolean.TRUE.equals(probed.result()) || hasRestarted(server)) {
                return report(server, alone);
            }
            firstProbe.tryComplete();
            if (number == MOST_PROBES) {
                return Future.succeededFuture();
            }
            return services.vertx()
                    .timer(PROBE_PAUSE.toMillis())
                    .compose(paused -> probe(server, alone, number + 1, firstProbe));
        });
    }

    /**
     * Tells whether a backend server has started again.
     *
     * @param server the backend server as it was
     * @return {@code true} if it announces a later incarnation
     */
    private boolean hasRestarted(BackendServer server) {
        return services.servers().current().stream()
                .anyMatch(now -> now.name().equals(server.name()) && now.incarnation() > server.incarnation());
    }

    /**
     * Reports that a backend server ended during the request.
     *
     * @param server the backend server
     * @param alone whether the request ran alone
     * @return completes when the report is durable, or late
     */
    private Future<Void> report(BackendServer server, boolean alone) {
        Future<Suspicion> answer = Future.fromCompletionStage(
                services.crashes().reportCrash(request.fingerprint(), server.name(), server.incarnation(), alone),
                services.vertx().getOrCreateContext());
        return answer.timeout(REPORT_TIME.toMillis(), TimeUnit.MILLISECONDS)
                .onSuccess(suspicion -> reported = suspicion)
                .<Void>mapEmpty()
                .otherwiseEmpty();
    }
}
