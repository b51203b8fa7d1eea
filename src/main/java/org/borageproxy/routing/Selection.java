package org.borageproxy.routing;

import org.borageproxy.membership.BackendServer;

/** The answer to the search for a replica. Implementations are immutable. */
public sealed interface Selection {

    /**
     * A replica was chosen.
     *
     * @param server the backend server that runs the request
     */
    record Chosen(BackendServer server) implements Selection {}

    /** Replicas exist, but none can take the request now. */
    enum Busy implements Selection {
        /** The only value. */
        INSTANCE
    }

    /** No replica is known. */
    enum Missing implements Selection {
        /** The only value. */
        INSTANCE
    }
}
