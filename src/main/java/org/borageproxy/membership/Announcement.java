package org.borageproxy.membership;

import java.util.List;
import java.util.Set;

import org.borageproxy.vm.AvailabilityZone;

/**
 * What a backend server says of itself in one announcement. Immutable and thread safe.
 *
 * @param name the backend server's name
 * @param incarnation rises each time the backend server starts
 * @param sequence rises with each announcement of one incarnation
 * @param content what rarely changes
 * @param load the load it reports
 */
public record Announcement(BackendServerName name, long incarnation, long sequence, Content content, LoadReport load) {

    /**
     * The part of an announcement that rarely changes. Immutable and thread safe.
     *
     * @param kind what the backend server runs
     * @param zone its availability zone
     * @param host its IP address
     * @param port its TCP port
     * @param checksFencing whether it refuses orders with an old fencing number
     * @param intervalMillis the time between two announcements, in milliseconds
     * @param services the plain services that it runs
     * @param accelerators its accelerators
     * @param models the models that can be used now
     * @param copies the models that load without the weight store
     */
    public record Content(
            BackendServerKind kind,
            AvailabilityZone zone,
            String host,
            int port,
            boolean checksFencing,
            int intervalMillis,
            Set<String> services,
            List<Accelerator> accelerators,
            List<LoadedModel> models,
            WeightCopies copies) {

        /** Copies the collections. */
        public Content {
            services = Set.copyOf(services);
            accelerators = List.copyOf(accelerators);
            models = List.copyOf(models);
        }

        /**
         * Creates the content of a backend server that states no copies of weights.
         *
         * @param kind what the server is
         * @param zone the availability zone
         * @param host the host
         * @param port the port
         * @param checksFencing whether the server refuses orders with old fencing numbers
         * @param intervalMillis the time between announcements in milliseconds
         * @param services the services that it provides
         * @param accelerators its accelerators
         * @param models the models that can be used now
         */
        public Content(
                BackendServerKind kind,
                AvailabilityZone zone,
                String host,
                int port,
                boolean checksFencing,
                int intervalMillis,
                Set<String> services,
                List<Accelerator> accelerators,
                List<LoadedModel> models) {
            this(
                    kind,
                    zone,
                    host,
                    port,
                    checksFencing,
                    intervalMillis,
                    services,
                    accelerators,
                    models,
                    WeightCopies.NONE);
        }
    }

    /**
     * Returns the backend server as routing sees it.
     *
     * @param state whether it may be given work
     * @return the backend server
     */
    BackendServer server(BackendServerState state) {
        return new BackendServer(
                name,
                incarnation,
                sequence,
                content.kind(),
                state,
                content.zone(),
                content.host(),
                content.port(),
                content.checksFencing(),
                content.services(),
                content.accelerators(),
                content.models(),
                content.copies(),
                load);
    }

    /**
     * Returns this announcement with the sequence number and load of a later heartbeat.
     *
     * @param laterSequence the sequence number
     * @param laterLoad the load
     * @return a copy with both
     */
    Announcement withHeartbeat(long laterSequence, LoadReport laterLoad) {
        return new Announcement(name, incarnation, laterSequence, content, laterLoad);
    }
}
