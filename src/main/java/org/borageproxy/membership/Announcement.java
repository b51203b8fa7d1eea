package org.borageproxy.membership;

import java.util.List;
import java.util.Set;

import org.borageproxy.vm.AvailabilityZone;

/**
 * Announcement of a backend server. Immutable and thread safe.
 *
 * @param name the name
 * @param incarnation increases with each start of the backend server
 * @param sequence increases with each announcement of one incarnation
 * @param content the part that rarely changes
 * @param load the reported load
 */
public record Announcement(BackendServerName name, long incarnation, long sequence, Content content, LoadReport load) {

    /**
     * Part of an announcement that rarely changes. Immutable and thread safe.
     *
     * @param kind what the backend server runs
     * @param zone the availability zone
     * @param host the IP address
     * @param port the TCP port
     * @param checksFencing whether it refuses orders with an outdated fencing token
     * @param intervalMillis the interval of announcements in milliseconds
     * @param services the plain services that it runs
     * @param accelerators the accelerators
     * @param models the model versions that are loaded and usable
     * @param localWeights the models that it can load without the weight store
     * @param softwareVersion the version of its software; empty if it states none
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
            LocalWeights localWeights,
            String softwareVersion) {

        private static final int MAX_PORT = 65_535;

        /**
         * Copies the collections defensively.
         *
         * @throws IllegalArgumentException if the port is none of TCP
         */
        public Content {
            if (port < 1 || port > MAX_PORT) {
                throw new IllegalArgumentException("port out of range: " + port);
            }
            services = Set.copyOf(services);
            accelerators = List.copyOf(accelerators);
            models = List.copyOf(models);
        }

        /**
         * Creates the content of a backend server without local weights that states no software version.
         *
         * @param kind what the backend server runs
         * @param zone the availability zone
         * @param host the IP address
         * @param port the TCP port
         * @param checksFencing whether it refuses orders with an outdated fencing token
         * @param intervalMillis the interval of announcements in milliseconds
         * @param services the plain services that it runs
         * @param accelerators the accelerators
         * @param models the model versions that are loaded and usable
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
                    LocalWeights.NONE,
                    "");
        }

        /** Returns a copy without the parts that orders for models change. */
        Content withoutModels() {
            return new Content(
                    kind,
                    zone,
                    host,
                    port,
                    checksFencing,
                    intervalMillis,
                    services,
                    accelerators,
                    List.of(),
                    LocalWeights.NONE,
                    softwareVersion);
        }
    }

    /** Returns the view of the backend server in a state. */
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
                content.localWeights(),
                content.softwareVersion(),
                load);
    }

    /** Returns a copy with the sequence number and the load of a later heartbeat. */
    Announcement withHeartbeat(long laterSequence, LoadReport laterLoad) {
        return new Announcement(name, incarnation, laterSequence, content, laterLoad);
    }
}
