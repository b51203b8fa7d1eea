package org.borageproxy.membership;

import java.util.List;
import java.util.Set;

import org.borageproxy.vm.AvailabilityZone;

/**
 * View of one backend server on one VM, from the latest announcement by incarnation and sequence number. Immutable and
 * thread safe.
 *
 * @param name the name
 * @param incarnation increases with each start of the backend server
 * @param sequence increases with each announcement of one incarnation
 * @param kind what the backend server runs
 * @param state whether requests may be sent to it
 * @param zone the availability zone
 * @param host the IP address
 * @param port the TCP port
 * @param checksFencing whether it refuses orders with an outdated fencing token
 * @param services the plain services that it runs
 * @param accelerators the accelerators
 * @param models the model versions that are loaded and usable
 * @param localWeights the models that it can load without the weight store
 * @param softwareVersion the version of its software; empty if it states none
 * @param load the latest reported load
 */
public record BackendServer(
        BackendServerName name,
        long incarnation,
        long sequence,
        BackendServerKind kind,
        BackendServerState state,
        AvailabilityZone zone,
        String host,
        int port,
        boolean checksFencing,
        Set<String> services,
        List<Accelerator> accelerators,
        List<LoadedModel> models,
        LocalWeights localWeights,
        String softwareVersion,
        LoadReport load) {

    /** Copies the collections defensively. */
    public BackendServer {
        services = Set.copyOf(services);
        accelerators = List.copyOf(accelerators);
        models = List.copyOf(models);
    }

    /**
     * Creates a backend server without local weights that states no software version.
     *
     * @param name the name
     * @param incarnation increases with each start of the backend server
     * @param sequence increases with each announcement of one incarnation
     * @param kind what the backend server runs
     * @param state whether requests may be sent to it
     * @param zone the availability zone
     * @param host the IP address
     * @param port the TCP port
     * @param checksFencing whether it refuses orders with an outdated fencing token
     * @param services the plain services that it runs
     * @param accelerators the accelerators
     * @param models the model versions that are loaded and usable
     * @param load the latest reported load
     */
    public BackendServer(
            BackendServerName name,
            long incarnation,
            long sequence,
            BackendServerKind kind,
            BackendServerState state,
            AvailabilityZone zone,
            String host,
            int port,
            boolean checksFencing,
            Set<String> services,
            List<Accelerator> accelerators,
            List<LoadedModel> models,
            LoadReport load) {
        this(
                name,
                incarnation,
                sequence,
                kind,
                state,
                zone,
                host,
                port,
                checksFencing,
                services,
                accelerators,
                models,
                LocalWeights.NONE,
                "",
                load);
    }

    /**
     * Returns a copy of this backend server in another state.
     *
     * @param changed the other state
     * @return the copy
     */
    public BackendServer withState(BackendServerState changed) {
        return new BackendServer(
                name,
                incarnation,
                sequence,
                kind,
                changed,
                zone,
                host,
                port,
                checksFencing,
                services,
                accelerators,
                models,
                localWeights,
                softwareVersion,
                load);
    }

    /**
     * Returns whether a model version is loaded and usable.
     *
     * @param model the model's name
     * @param version the model's version
     * @return {@code true} if requests for the version can be sent to this backend server
     */
    public boolean serves(String model, String version) {
        return models.stream()
                .anyMatch(loaded ->
                        loaded.model().equals(model) && loaded.version().equals(version));
    }
}
