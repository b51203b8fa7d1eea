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
 * Lets a request that must run alone wait for a backend server to become idle. After a short time it reserves one, so
 * that a steady stream of other requests cannot hold it off for good. Confined to the request's event loop.
 */
final class ExclusiveReservation {

    /** How long the request waits for an idle backend server before it reserves one. */
    private static final Duration PATIENCE = Duration.ofMillis(200);

    /** What this VM has under way at each backend server. */
    private final ServerTable table;
    /** When a backend server is reserved, or {@code null} before the wait began. */
    private Deadline reserveAfter;
    /** The reserved backend server, or {@code null}. */
    private BackendServerName reserved;

    /**
     * Creates a wait that has not begun.
     *
     * @param table what this VM has under way at each backend server
     */
    ExclusiveReservation(ServerTable table) {
        this.table = table;
    }

    /**
     * Looks whether a reserved backend server has become idle, and reserves one if the wait has been long.
     *
     * @param query what the request needs
     * @param servers all backend servers
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return a backend server on which the request has taken its place alone
     */
    Optional<BackendServer> poll(ReplicaQuery query, List<BackendServer> servers, long nowNanos) {
        if (reserveAfter == null) {
            reserveAfter = Deadline.after(nowNanos, PATIENCE);
        }
        if (reserved == null && reserveAfter.hasPassed(nowNanos)) {
            query.eligible(servers).stream()
                    .map(BackendServer::name)
                    .min(Comparator.comparingInt(name -> table.usage(name).inFlight()))
                    .filter(table::reserve)
                    .ifPresent(name -> reserved = name);
        }
        if (reserved == null || !table.acquireReserved(reserved)) {
            return Optional.empty();
        }
        return servers.stream().filter(server -> server.name().equals(reserved)).findFirst();
    }

    /**
     * Ends the wait because the request runs.
     *
     * @param server where it runs
     */
    void onAttemptStarted(BackendServerName server) {
        if (server.equals(reserved)) {
            reserved = null;
        }
        release();
        reserveAfter = null;
    }

    /** Gives a reservation up. */
    void release() {
        if (reserved != null) {
            table.cancelReservation(reserved);
            reserved = null;
        }
    }
}
