package org.borageproxy.routing;

import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.membership.LoadReport;

/**
 * Tells how many requests this VM may have in flight for a model or plain service. What other VMs have in flight at a
 * model engine is taken from its lagging load report. Every usable backend server counts for at least one request, so
 * that an old report never stops the flow. Safe for use by any thread.
 */
public final class PoolCapacity implements ToIntFunction<String> {

    /** The requests that a plain service may get from one VM at once. */
    private static final int SERVICE_REQUESTS = 64;

    /** The backend servers. */
    private final BackendServers servers;
    /** What this VM has in flight at each backend server. */
    private final Supplier<ServerTable> table;

    /**
     * Creates a capacity.
     *
     * @param servers the backend servers
     * @param table what this VM has in flight at each backend server
     */
    public PoolCapacity(BackendServers servers, Supplier<ServerTable> table) {
        this.servers = servers;
        this.table = table;
    }

    @Override
    public int applyAsInt(String pool) {
        return servers.current().stream()
                .filter(server -> server.state() != BackendServerState.LEAVING)
                .filter(server -> belongsTo(server, pool))
                .mapToInt(this::requestsAt)
                .sum();
    }

    /**
     * Tells whether a backend server serves a pool.
     *
     * @param server the backend server
     * @param pool the model or plain service
     * @return {@code true} if it does
     */
    private static boolean belongsTo(BackendServer server, String pool) {
        if (server.kind() == BackendServerKind.SERVICE) {
            return server.services().contains(pool);
        }
        return server.models().stream().anyMatch(loaded -> loaded.model().equals(pool));
    }

    /**
     * Returns the requests that a backend server may get from this VM.
     *
     * @param server the backend server
     * @return the number, at least one
     */
    private int requestsAt(BackendServer server) {
        if (server.kind() == BackendServerKind.SERVICE) {
            return SERVICE_REQUESTS;
        }
        LoadReport load = server.load();
        int own = table.get().usage(server.name()).inFlight();
        int others = Math.max(0, load.running() + load.waiting() - own);
        return Math.max(1, load.batchLimit() - others);
    }
}
