package org.borageproxy.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;

/**
 * Running totals of the usage that VMs report for servers, so that a report costs as much as the servers it names and
 * not as much as those of all reports. Each total is the sum of the usages that were added and not removed. Not thread
 * safe.
 */
public final class ServerUsageTotals {

    private final Map<Incarnation, Total> totals = new HashMap<>();

    private record Incarnation(String server, long number) {

        private static Incarnation of(ServerUsage usage) {
            return new Incarnation(usage.getName(), usage.getIncarnation());
        }
    }

    private static final class Total {
        private int addends;
        private int requests;
        private int promptTokens;
        private int heldTokens;
        private long heldBytes;

        private void add(ServerUsage usage, int sign) {
            addends += sign;
            requests += sign * usage.getRequests();
            promptTokens += sign * usage.getPromptTokens();
            heldTokens += sign * usage.getHeldTokens();
            heldBytes += sign * usage.getHeldBytes();
        }

        private ServerUsage toUsage(Incarnation incarnation) {
            return ServerUsage.newBuilder()
                    .setName(incarnation.server())
                    .setIncarnation(incarnation.number())
                    .setRequests(requests)
                    .setPromptTokens(promptTokens)
                    .setHeldTokens(heldTokens)
                    .setHeldBytes(heldBytes)
                    .build();
        }
    }

    /**
     * Adds usages to the totals.
     *
     * @param usages the usages of one report
     */
    public void add(Collection<ServerUsage> usages) {
        usages.forEach(usage -> totals.computeIfAbsent(Incarnation.of(usage), key -> new Total())
                .add(usage, 1));
    }

    /**
     * Removes usages from the totals.
     *
     * @param usages usages that were added before
     */
    public void remove(Collection<ServerUsage> usages) {
        for (ServerUsage usage : usages) {
            totals.computeIfPresent(Incarnation.of(usage), (key, total) -> {
                total.add(usage, -1);
                return total.addends == 0 ? null : total;
            });
        }
    }

    /** Removes all usages. */
    public void clear() {
        totals.clear();
    }

    /**
     * Returns the totals of the latest incarnation of each server.
     *
     * @return one usage for each server, without outcomes
     */
    public List<ServerUsage> latest() {
        Map<String, Incarnation> latest = new HashMap<>();
        totals.keySet()
                .forEach(key ->
                        latest.merge(key.server(), key, (one, other) -> one.number() > other.number() ? one : other));
        List<ServerUsage> usages = new ArrayList<>(latest.size());
        latest.values().forEach(key -> usages.add(totals.get(key).toUsage(key)));
        return usages;
    }
}
