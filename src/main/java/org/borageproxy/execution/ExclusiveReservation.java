package org.borageproxy.execution;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.routing.ReplicaQuery;
import org.borageproxy.routing.ServerTable;
import org.borageproxy.time.Deadline;

/**
 * Waits until a request that must run alone gets an idle backend server. After a short delay it reserves a server, so
 * that a steady stream of other requests cannot starve the request. Confined to the request's event loop.
 */
final class ExclusiveReservation {

    /** The wait for an idle server before one is reserved. */
    private static final Duration RESERVE_DELAY = Duration.ofMillis(200);

    private final ServerTable table;
    /** When a server is reserved, or {@code null} before the wait starts. */
    private Deadline reserveDeadline;
    /** The reserved server, or {@code null}. */
    private BackendServerName reservedServer;

    ExclusiveReservation(ServerTable table) {
        this.table = table;
    }

    /**
     * Reserves a backend server once the delay has passed, and occupies the reserved server once it is idle.
     *
     * @param query the replica requirements
     * @param servers all backend servers
     * @param nowNanos the monotonic time in nanoseconds
     * @return the server, which the request now occupies alone, empty if the wait continues
     */
    Optional<BackendServer> poll(ReplicaQuery query, List<BackendServer> servers, long nowNanos) {
        if (reserveDeadline == null) {
            reserveDeadline = Deadline.after(nowNanos, RESERVE_DELAY);
        }
        if (reservedServer == null && reserveDeadline.hasPassed(nowNanos)) {
            query.eligible(servers).stream()
                    .map(BackendServer::name)
                    .min(Comparator.comparingInt(name -> table.usage(name).inFlight()))
                    .filter(table::reserve)
                    .ifPresent(name -> reservedServer = name);
        }
        if (reservedServer == null || !table.acquireReserved(reservedServer)) {
            return Optional.empty();
        }
        return servers.stream()
                .filter(server -> server.name().equals(reservedServer))
                .findFirst();
    }

    /**
     * Ends the wait. A reservation of another server is released.
     *
     * @param server the backend server that runs the attempt
     */
    void onAttemptStarted(BackendServerName server) {
        if (server.equals(reservedServer)) {
            reservedServer = null;
        }
        release();
        reserveDeadline = null;
    }

    void release() {
        if (reservedServer != null) {
            table.cancelReservation(reservedServer);
            reservedServer = null;
        }
    }
}
