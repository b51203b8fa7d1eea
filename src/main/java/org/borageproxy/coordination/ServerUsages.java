package org.borageproxy.coordination;

import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;

/** Aggregation of the usage that VMs report for a server. Stateless and thread safe. */
public final class ServerUsages {

    private ServerUsages() {}

    /**
     * Adds the usage that two VMs report for the same server.
     *
     * @param one the usage by one VM
     * @param other the usage by another VM
     * @return the sum if both concern the same incarnation, otherwise the usage of the later incarnation
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
