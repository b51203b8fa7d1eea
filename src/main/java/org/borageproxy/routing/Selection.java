package org.borageproxy.routing;

import org.borageproxy.membership.BackendServer;

/** The outcome of the selection of a replica. Implementations are immutable. */
public sealed interface Selection {

    /**
     * A replica was selected.
     *
     * @param server the backend server that runs the request
     */
    record Chosen(BackendServer server) implements Selection {}

    /** Replicas exist, but none can accept the request now. */
    enum Busy implements Selection {
        /** The only value. */
        INSTANCE
    }

    /** No eligible replica exists. */
    enum Missing implements Selection {
        /** The only value. */
        INSTANCE
    }
}
