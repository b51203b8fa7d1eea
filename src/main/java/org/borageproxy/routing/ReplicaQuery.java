package org.borageproxy.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.vm.AvailabilityZone;

/**
 * Requirements of a request on a replica. Immutable and thread safe.
 *
 * @param target the model version or plain service that the replica must serve
 * @param work the size of the request
 * @param zone the availability zone of this VM
 * @param triedServers the backend servers on which earlier attempts failed, with their availability zones
 * @param exclusive whether the request must run alone
 * @param affinity the backend server that probably has the prompt's prefix cached, or {@code null}
 */
public record ReplicaQuery(
        Target target,
        Work work,
        AvailabilityZone zone,
        Map<BackendServerName, AvailabilityZone> triedServers,
        boolean exclusive,
        BackendServerName affinity) {

    /** Copies the map. */
    public ReplicaQuery {
        triedServers = Map.copyOf(triedServers);
    }

    /**
     * Returns the backend servers that may run the request. Servers on which an attempt failed are excluded while
     * another one is alive, even if that one is busy: a failed server looks idle, but may be gone.
     *
     * @param servers all backend servers
     * @return the servers of the target that are not leaving; empty if there is none
     */
    public List<BackendServer> eligible(List<BackendServer> servers) {
        List<BackendServer> serving = servers.stream()
                .filter(server -> server.state() != BackendServerState.LEAVING)
                .filter(target::isServedBy)
                .toList();
        boolean hasOtherAlive =
                serving.stream().anyMatch(server -> server.state() == BackendServerState.ALIVE && !wasTriedOn(server));
        return hasOtherAlive
                ? serving.stream().filter(server -> !wasTriedOn(server)).toList()
                : serving;
    }

    private boolean wasTriedOn(BackendServer server) {
        return triedServers.containsKey(server.name());
    }

    /** What a replica must serve to run the request. Implementations are immutable. */
    public sealed interface Target {

        /**
         * Returns whether a backend server has the model version and adapter loaded, or offers the service.
         *
         * @param server the backend server, in any state
         * @return {@code true} if the server can run the request
         */
        boolean isServedBy(BackendServer server);

        /**
         * A version of a model.
         *
         * @param model the model's name
         * @param version the version's name
         * @param adapter the adapter's name, empty for none
         * @param softwareVersion the version of the software that must run the model; empty for any
         */
        record OfModel(String model, String version, String adapter, Optional<String> softwareVersion)
                implements Target {

            @Override
            public boolean isServedBy(BackendServer server) {
                return softwareVersion
                                .map(required -> required.equals(server.softwareVersion()))
                                .orElse(true)
                        && hasModel(server);
            }

            private boolean hasModel(BackendServer server) {
                return server.models().stream()
                        .anyMatch(loaded -> loaded.model().equals(model)
                                && loaded.version().equals(version)
                                && hasAdapter(loaded.adapters()));
            }

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
     * The size of a request.
     *
     * @param promptTokens the estimated number of prompt tokens
     * @param outputTokens the maximum number of output tokens
     */
    public record Work(long promptTokens, long outputTokens) {}
}
