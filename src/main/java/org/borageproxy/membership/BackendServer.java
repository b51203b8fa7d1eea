package org.borageproxy.membership;

import java.util.List;
import java.util.Set;

import org.borageproxy.vm.AvailabilityZone;

/**
 * What a VM knows of one backend server, from the newest announcement by incarnation and sequence number. Immutable and
 * thread safe.
 *
 * @param name the backend server's name
 * @param incarnation rises each time the backend server starts
 * @param sequence rises with each announcement of one incarnation
 * @param kind what the backend server runs
 * @param state whether it may be given work
 * @param zone its availability zone
 * @param host its IP address
 * @param port its TCP port
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param services the plain services that it runs
 * @param accelerators its accelerators
 * @param models the models in its memory that can be used now
 * @param copies the models that load without the weight store
 * @param load the load it reported last
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
        WeightCopies copies,
        LoadReport load) {

    /** Copies the collections. */
    public BackendServer {
        services = Set.copyOf(services);
        accelerators = List.copyOf(accelerators);
        models = List.copyOf(models);
    }

    /**
     * Creates a server that states no copies of weights.
     *
     * @param name the name
     * @param incarnation the number of its start
     * @param sequence the number of its last announcement
     * @param kind what it is
     * @param state whether it takes work
     * @param zone the availability zone
     * @param host the host
     * @param port the port
     * @param checksFencing whether it refuses orders with old fencing numbers
     * @param services the services that it provides
     * @param accelerators its accelerators
     * @param models the models in its memory that can be used now
     * @param load its last load report
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
                WeightCopies.NONE,
                load);
    }

    /**
     * Returns this backend server in another state.
     *
     * @param changed the state
     * @return a copy in the state
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
                copies,
                load);
    }

    /**
     * Tells whether a version of a model is in memory.
     *
     * @param model the model's name
     * @param version the model's version
     * @return {@code true} if the version can be used now
     */
    public boolean serves(String model, String version) {
        return models.stream()
                .anyMatch(loaded ->
                        loaded.model().equals(model) && loaded.version().equals(version));
    }
}
