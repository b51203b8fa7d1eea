package org.borageproxy.forward;

import java.util.Optional;
import java.util.Set;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.scheduling.WaitingRequest;
import org.borageproxy.vm.AvailabilityZone;

/**
 * What a request requires of the server that runs it. Immutable and thread safe, except that the set of tried servers
 * is that of the request and grows with its attempts.
 *
 * @param service the service
 * @param engines the engine pool of the service; empty for a plain service
 * @param work the inference work; empty for a plain service
 * @param triedServers the servers that must not be selected again
 * @param origin what began the stream that the request continues; empty for a request that any server can run
 * @param toleratedMillis the predicted time up to which the request leaves faster servers to others, in milliseconds
 * @param allowedRegions the regions in which the request may run; empty for any
 * @param bodyBytes the size of the request's body, which the server holds while it runs the request
 */
record ServerRequirement(
        String service,
        Optional<EnginePool> engines,
        Optional<EngineWork> work,
        Set<BackendServerName> triedServers,
        Optional<StreamOrigin> origin,
        double toleratedMillis,
        Set<String> allowedRegions,
        long bodyBytes) {

    /**
     * Creates the requirement of a request without a body that any region may run, on the server that is expected to
     * finish first.
     *
     * @param service the service
     * @param engines the engine pool of the service; empty for a plain service
     * @param work the inference work; empty for a plain service
     * @param triedServers the servers that must not be selected again
     * @param origin what began the stream that the request continues; empty for a request that any server can run
     */
    ServerRequirement(
            String service,
            Optional<EnginePool> engines,
            Optional<EngineWork> work,
            Set<BackendServerName> triedServers,
            Optional<StreamOrigin> origin) {
        this(service, engines, work, triedServers, origin, 0.0, Set.of(), 0);
    }

    /**
     * Returns whether a server runs the software that the request requires. Its state and its models are not checked.
     *
     * @param server the server
     * @return {@code false} if the request continues a stream that the server cannot continue
     */
    boolean isMetBy(BackendServer server) {
        return server.services().contains(service)
                && origin.map(known -> known.matches(server)).orElse(true);
    }

    /**
     * Returns the requirements on the selection among the servers that meet the others.
     *
     * @param callerZone the availability zone from which the request is sent
     * @param usableShare the share of its limits up to which an engine takes the request
     * @return the query
     */
    ServerSelector.Query query(AvailabilityZone callerZone, double usableShare) {
        return new ServerSelector.Query(work, engines, callerZone, triedServers, toleratedMillis, usableShare);
    }

    /**
     * Returns the lane in which the request waits.
     *
     * @return the lane of all requests that the same servers can run, apart from those that each has tried
     */
    WaitingRequest.Lane lane() {
        return new WaitingRequest.Lane(
                service,
                work.map(EngineWork::model).orElse(""),
                work.map(EngineWork::adapter).orElse(""),
                origin.map(StreamOrigin::softwareVersion).orElse(""));
    }
}
