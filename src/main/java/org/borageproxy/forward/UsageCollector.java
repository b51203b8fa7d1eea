package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.borageproxy.membership.BackendServerName;
import org.borageproxy.routing.ServerLoad;
import org.borageproxy.routing.speed.SlownessSample;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;
import org.borageproxy.wire.proto.CoordinationProtocol.SlownessSamples;

/** Encodes the usage of servers by this VM for the reports to the coordinator. Stateless. */
final class UsageCollector {

    private UsageCollector() {}

    /**
     * Encodes the usage and resets the outcomes and the samples of slowness.
     *
     * @param loads the loads of the servers
     * @return the usage of each server with requests in flight, or with outcomes or samples since the previous call
     */
    static List<ServerUsage> drain(Map<BackendServerName, ServerLoad> loads) {
        List<ServerUsage> usages = new ArrayList<>();
        loads.forEach((name, load) -> {
            ServerLoad.OutcomeCounts outcomes = load.drainOutcomes();
            SlownessSample slowness = load.slowness().drain();
            boolean hasNews = outcomes.failures() > 0 || outcomes.successes() > 0 || slowness.isPresent();
            if (load.ownRequests() > 0 || hasNews) {
                ServerUsage.Builder usage = ServerUsage.newBuilder()
                        .setName(name.value())
                        .setIncarnation(load.incarnation())
                        .setRequests(load.ownRequests())
                        .setPromptTokens(Math.max(0, load.ownPrefillTokens()))
                        .setHeldTokens(Math.max(0, load.ownReservedTokens()))
                        .setFailures(outcomes.failures())
                        .setAnswers(outcomes.successes())
                        .setHeldBytes(load.ownHeldBytes())
                        .setLostBytes(load.drainLostBytes());
                if (slowness.isPresent()) {
                    usage.setSlowness(encode(slowness));
                }
                usages.add(usage.build());
            }
        });
        return usages;
    }

    private static SlownessSamples encode(SlownessSample slowness) {
        return SlownessSamples.newBuilder()
                .setFirstEvent((float) slowness.firstEvent())
                .setFirstEvents(slowness.firstEvents())
                .setPause((float) slowness.pause())
                .setPauses(slowness.pauses())
                .build();
    }
}
