package org.borageproxy.routing;

import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.membership.LoadReport;

/**
 * Computes how many requests this VM may have in flight for a model or plain service. The requests of other VMs at a
 * model engine are derived from its load report, which lags. Every usable backend server counts for at least one
 * request, so that a stale report never blocks all requests. Thread safe.
 */
public final class PoolCapacity implements ToIntFunction<String> {

    /** Requests that one VM may have in flight at one server of a plain service. */
    private static final int MAX_SERVICE_REQUESTS = 64;

    private final BackendServers servers;
    private final Supplier<ServerTable> inFlightTable;

    /**
     * Creates a capacity function.
     *
     * @param servers the backend servers
     * @param inFlightTable supplies the requests that this VM has in flight at each backend server
     */
    public PoolCapacity(BackendServers servers, Supplier<ServerTable> inFlightTable) {
        this.servers = servers;
        this.inFlightTable = inFlightTable;
    }

    @Override
    public int applyAsInt(String pool) {
        return servers.current().stream()
                .filter(server -> server.state() != BackendServerState.LEAVING)
                .filter(server -> isServedBy(server, pool))
                .mapToInt(this::requestsAt)
                .sum();
    }

    private static boolean isServedBy(BackendServer server, String pool) {
        if (server.kind() == BackendServerKind.SERVICE) {
            return server.services().contains(pool);
        }
        return server.models().stream().anyMatch(loaded -> loaded.model().equals(pool));
    }

    private int requestsAt(BackendServer server) {
        if (server.kind() == BackendServerKind.SERVICE) {
            return MAX_SERVICE_REQUESTS;
        }
        LoadReport load = server.load();
        int ownRequests = inFlightTable.get().usage(server.name()).inFlight();
        int otherRequests = Math.max(0, load.running() + load.waiting() - ownRequests);
        return Math.max(1, load.batchLimit() - otherRequests);
    }
}
