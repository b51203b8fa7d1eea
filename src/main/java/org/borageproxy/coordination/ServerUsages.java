package org.borageproxy.coordination;

import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;

/** Adds up what VMs have in flight. Stateless and thread safe. */
public final class ServerUsages {

    private ServerUsages() {}

    /**
     * Adds the usage of one server by two VMs.
     *
     * @param one the usage by one
     * @param other the usage by the other
     * @return the sum, or that of the later incarnation
     */
    public static ServerUsage sum(ServerUsage one, ServerUsage other) {
        if (one.getIncarnation() != other.getIncarnation()) {
            return one.getIncarnation() > other.getIncarnation() ? one : other;
        }
        return one.toBuilder()
                .setRequests(one.getRequests() + other.getRequests())
                .setPromptTokens(one.getPromptTokens() + other.getPromptTokens())
                .setHeldTokens(one.getHeldTokens() + other.getHeldTokens())
                .build();
    }
}
