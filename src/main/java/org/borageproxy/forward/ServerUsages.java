package org.borageproxy.forward;

import java.util.Optional;

import org.borageproxy.membership.BackendServerName;
import org.borageproxy.routing.ServerLoad;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;

/** Messages on the usage of servers. Stateless; its methods are called on the event loop of the loads. */
final class ServerUsages {

    private ServerUsages() {}

    /**
     * Returns this VM's usage of a server and resets the outcomes.
     *
     * @param name the server
     * @param load its load
     * @return empty without requests in flight and outcomes since the previous call
     */
    static Optional<ServerUsage> drain(BackendServerName name, ServerLoad load) {
        ServerLoad.OutcomeCounts outcomes = load.drainOutcomes();
        if (load.ownRequests() == 0 && outcomes.failures() == 0 && outcomes.successes() == 0) {
            return Optional.empty();
        }
        return Optional.of(ServerUsage.newBuilder()
                .setName(name.value())
                .setIncarnation(load.incarnation())
                .setRequests(load.ownRequests())
                .setPromptTokens(Math.max(0, load.ownPrefillTokens()))
                .setHeldTokens(Math.max(0, load.ownReservedTokens()))
                .setFailures(outcomes.failures())
                .setAnswers(outcomes.successes())
                .setHeldBytes(load.ownHeldBytes())
                .setLostBytes(load.drainLostBytes())
                .build());
    }

    /**
     * Applies the usage of the other VMs.
     *
     * @param usage their total usage
     * @param load the load of the server
     */
    static void apply(ServerUsage usage, ServerLoad load) {
        load.setOtherVmLoad(usage.getRequests(), usage.getPromptTokens(), usage.getHeldTokens());
        load.setOtherHeldBytes(usage.getHeldBytes());
    }
}
