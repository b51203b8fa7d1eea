package org.borageproxy.execution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.borageproxy.membership.BackendServer;

/**
 * Detects and reports crashes of backend servers during one request. After its first lost connection the request must
 * run alone; after the second it must not run again. Confined to the request's event loop.
 */
final class CrashTracker {

    private static final int MAXIMUM_CONNECTION_LOSSES = 2;
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);
    /** More than one, since a crashed process on a busy VM may keep its port open for a while. */
    private static final int MAXIMUM_PROBES = 3;

    private static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

    private final ExecutionDependencies dependencies;
    private final ExecutionRequest request;
    /** One for each lost connection. */
    private final List<Future<Void>> pendingProbes = new ArrayList<>();

    private int connectionLosses;
    /** The result of the last report, which may be newer than the view of this VM. */
    private Suspicion reportedSuspicion = Suspicion.NONE;

    CrashTracker(ExecutionDependencies dependencies, ExecutionRequest request) {
        this.dependencies = dependencies;
        this.request = request;
    }

    boolean isQuarantined() {
        return reportedSuspicion == Suspicion.QUARANTINED || localSuspicion() == Suspicion.QUARANTINED;
    }

    /**
     * Returns whether the request must be the only one on its backend server.
     *
     * @return {@code true} if a connection was lost during the request, or if this VM's view of it is
     *     {@link Suspicion#SUSPECT}
     */
    boolean mustRunAlone() {
        return connectionLosses > 0 || localSuspicion() == Suspicion.SUSPECT;
    }

    boolean hasReachedLossLimit() {
        return connectionLosses >= MAXIMUM_CONNECTION_LOSSES;
    }

    void onAnswered() {
        if (connectionLosses > 0 || localSuspicion() != Suspicion.NONE) {
            dependencies.crashes().reportAnswered(request.fingerprint());
        }
    }

    private Suspicion localSuspicion() {
        return dependencies.crashes().suspicion(request.fingerprint());
    }

    /**
     * Probes a backend server whose connection was lost and reports a crash. After the last permitted loss it waits for
     * all pending probes, so that the shared suspicion is updated before the request completes.
     *
     * @param server the backend server
     * @param exclusive whether the attempt ran exclusively
     * @return completes after the first probe, with the report of a crash that it found, or at the loss limit after all
     *     probes and reports
     */
    Future<Void> onConnectionLost(BackendServer server, boolean exclusive) {
        connectionLosses++;
        boolean alone = exclusive && server.load().running() <= 1;
        Promise<Void> firstProbe = Promise.promise();
        Future<Void> pendingProbe =
                probe(server, alone, 1, firstProbe).onComplete(reported -> firstProbe.tryComplete());
        pendingProbes.add(pendingProbe);
        return hasReachedLossLimit() ? Future.join(pendingProbes).mapEmpty() : firstProbe.future();
    }

    private Future<Void> probe(BackendServer server, boolean alone, int probeNumber, Promise<Void> firstProbe) {
        return dependencies.probe().hasStopped(server).transform(result -> {
            if (Boolean.TRUE.equals(result.result()) || hasRestarted(server)) {
                return report(server, alone);
            }
            firstProbe.tryComplete();
            if (probeNumber == MAXIMUM_PROBES) {
                return Future.succeededFuture();
            }
            return dependencies
                    .vertx()
                    .timer(PROBE_INTERVAL.toMillis())
                    .compose(elapsed -> probe(server, alone, probeNumber + 1, firstProbe));
        });
    }

    /**
     * Checks for a later incarnation, which proves that the server has stopped although its port is open.
     *
     * @param server the backend server as selected for the attempt
     * @return {@code true} if a later incarnation is announced
     */
    private boolean hasRestarted(BackendServer server) {
        return dependencies.servers().current().stream()
                .anyMatch(current ->
                        current.name().equals(server.name()) && current.incarnation() > server.incarnation());
    }

    /**
     * Reports a crash.
     *
     * @param server the backend server
     * @param alone whether the request was the only one on the server
     * @return completes when the report is durable or its timeout expires
     */
    private Future<Void> report(BackendServer server, boolean alone) {
        Future<Suspicion> reply = Future.fromCompletionStage(
                dependencies.crashes().reportCrash(request.fingerprint(), server.name(), server.incarnation(), alone),
                dependencies.vertx().getOrCreateContext());
        return reply.timeout(REPORT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .onSuccess(suspicion -> reportedSuspicion = suspicion)
                .<Void>mapEmpty()
                .otherwiseEmpty();
    }
}
