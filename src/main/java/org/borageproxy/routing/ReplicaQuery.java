package org.borageproxy.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.vm.AvailabilityZone;

/**
 * What a request needs of a replica. Immutable and thread safe.
 *
 * @param target what must be loaded or offered
 * @param work the size of the work
 * @param zone the zone of this VM
 * @param triedServers the backend servers that failed this request before, with their zones
 * @param exclusive whether the request must run alone
 * @param affinity the backend server that probably holds the prompt's prefix, or {@code null}
 */
public record ReplicaQuery(
        Target target,
        Work work,
        AvailabilityZone zone,
        Map<BackendServerName, AvailabilityZone> triedServers,
        boolean exclusive,
        BackendServerName affinity) {

    /** Copies the tried servers. */
    public ReplicaQuery {
        triedServers = Map.copyOf(triedServers);
    }

    /**
     * Returns the backend servers that may get the request. One that failed it before is left out while another one is
     * alive, even if that one is busy now: the failed one is idle because it may be gone.
     *
     * @param servers all backend servers
     * @return the backend servers that have what the request needs
     */
    public List<BackendServer> eligible(List<BackendServer> servers) {
        List<BackendServer> serving = servers.stream()
                .filter(server -> server.state() != BackendServerState.LEAVING)
                .filter(target::isServedBy)
                .toList();
        boolean otherAlive =
                serving.stream().anyMatch(server -> server.state() == BackendServerState.ALIVE && !wasTriedOn(server));
        return otherAlive
                ? serving.stream().filter(server -> !wasTriedOn(server)).toList()
                : serving;
    }

    /**
     * Tells whether a backend server failed this request before.
     *
     * @param server the backend server
     * @return {@code true} if it did
     */
    private boolean wasTriedOn(BackendServer server) {
        return triedServers.containsKey(server.name());
    }

    /** What must be loaded or offered. Implementations are immutable. */
    public sealed interface Target {

        /**
         * Tells whether a backend server can run the request.
         *
         * @param server the backend server
         * @return {@code true} if it can
         */
        boolean isServedBy(BackendServer server);

        /**
         * A version of a model.
         *
         * @param model the model's name
         * @param version the version's name
         * @param adapter the adapter's name, empty for none
         */
        record OfModel(String model, String version, String adapter) implements Target {

            @Override
            public boolean isServedBy(BackendServer server) {
                return server.models().stream()
                        .anyMatch(loaded -> loaded.model().equals(model)
                                && loaded.version().equals(version)
                                && hasAdapter(loaded.adapters()));
            }

            /**
             * Tells whether the adapter is among those loaded.
             *
             * @param adapters the loaded adapters
             * @return {@code true} if it is, or if none is needed
             */
            private boolean hasAdapter(Set<String> adapters) {
                return adapter.isEmpty() || adapters.contains(adapter);
            }
        }

        /**
         * A plain service.
         *
         * @param service the service's name
         */
        record OfService(String service) implements Target {

            @Override
            public boolean isServedBy(BackendServer server) {
                return server.kind() == BackendServerKind.SERVICE
                        && server.services().contains(service);
            }
        }
    }

    /**
     * The size of the work.
     *
     * @param promptTokens the estimated tokens of the prompt
     * @param outputTokens the largest number of output tokens
     */
    public record Work(long promptTokens, long outputTokens) {}
}
