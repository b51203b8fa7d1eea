package org.borageproxy.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.ServerLoad;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;

/**
 * The load of each backend server that was considered for a request. A restarted server begins without load. Not thread
 * safe; confined to one event loop.
 */
final class ServerLoads {

    /** Assumed KV cache capacity of a server whose engine pool is not published. */
    private static final long DEFAULT_CACHE_TOKENS = 100_000;

    /** Time for which the load of the other VMs counts without an update: four report intervals at rest. */
    private static final Duration OTHER_USAGE_VALIDITY = Duration.ofSeconds(1);
    /**
     * Share of its slots from which a server of a plain service fills; entries do not see each other's last requests.
     */
    private static final double FILLING_SHARE = 0.75;

    private final MonotonicClock clock;
    private final Map<BackendServerName, ServerLoad> loads = new HashMap<>();
    private Deadline otherUsageKnownUntil;

    ServerLoads(MonotonicClock clock) {
        this.clock = clock;
        this.otherUsageKnownUntil = new Deadline(clock.nanoTime());
    }

    private boolean isOtherUsageKnown() {
        return !otherUsageKnownUntil.hasPassed(clock.nanoTime());
    }

    /**
     * Returns whether a server of a plain service has most of its slots taken.
     *
     * @param server the server
     * @return {@code false} while the load of the other VMs is not known
     */
    boolean isFilling(BackendServer server) {
        int slots = server.load().batchLimit();
        return slots > 1
                && isOtherUsageKnown()
                && of(server, Optional.empty()).totalRequests() >= slots * FILLING_SHARE;
    }

    /**
     * Returns the share of its limits up to which a server takes a request of this VM.
     *
     * @param engines the engine pool of the service; empty for a plain service
     * @return one; infinite for a plain service while the load of the other VMs is not known
     */
    double usableShare(Optional<EnginePool> engines) {
        return engines.isPresent() || isOtherUsageKnown() ? 1 : Double.POSITIVE_INFINITY;
    }

    ServerLoad of(BackendServer server, Optional<EnginePool> engines) {
        ServerLoad known = loads.get(server.name());
        if (known == null || known.incarnation() != server.incarnation()) {
            long cache = engines.map(EnginePool::cacheTokens).orElse(DEFAULT_CACHE_TOKENS);
            known = new ServerLoad(server.incarnation(), cache, clock.nanoTime());
            loads.put(server.name(), known);
        }
        return known;
    }

    /**
     * Updates the load of the other VMs. Servers that were never considered for a request are skipped.
     *
     * @param usages the total usage of the other VMs, one for each server; a server that is left out has none
     * @param isComplete {@code false} if the usage of model engines is left out and unchanged
     * @param decreaseListener receives each server whose load has decreased
     */
    void updateOtherVmUsage(
            List<ServerUsage> usages, boolean isComplete, Consumer<BackendServerName> decreaseListener) {
        otherUsageKnownUntil = Deadline.after(clock.nanoTime(), OTHER_USAGE_VALIDITY);
        Map<BackendServerName, ServerUsage> usageByServer = new HashMap<>();
        usages.forEach(usage -> usageByServer.put(new BackendServerName(usage.getName()), usage));
        loads.forEach((name, load) -> {
            ServerUsage usage = usageByServer.getOrDefault(name, ServerUsage.getDefaultInstance());
            boolean isKnown = usage.getIncarnation() == load.incarnation();
            boolean isUnused = !isKnown && (isComplete || !load.hasOtherVmTokens());
            if ((isKnown || isUnused) && update(load, isKnown ? usage : ServerUsage.getDefaultInstance())) {
                decreaseListener.accept(name);
            }
        });
    }

    private static boolean update(ServerLoad load, ServerUsage usage) {
        int requests = load.totalRequests();
        int prefillTokens = load.totalPrefillTokens();
        int reservedTokens = load.totalReservedTokens();
        long heldBytes = load.totalHeldBytes();
        load.setOtherVmLoad(usage.getRequests(), usage.getPromptTokens(), usage.getHeldTokens());
        load.setOtherHeldBytes(usage.getHeldBytes());
        return load.totalRequests() < requests
                || load.totalPrefillTokens() < prefillTokens
                || load.totalReservedTokens() < reservedTokens
                || load.totalHeldBytes() < heldBytes;
    }

    void applyOutcomes(ServerUsage usage) {
        ServerLoad load = loads.get(new BackendServerName(usage.getName()));
        if (load == null || load.incarnation() != usage.getIncarnation()) {
            return;
        }
        if (usage.getAnswers() > 0) {
            load.recordSuccess(1.0);
        }
        if (usage.getFailures() > 0) {
            load.recordFailure(clock.nanoTime());
        }
    }

    /** Returns the load of a server that was considered for a request before. */
    Optional<ServerLoad> find(BackendServerName name) {
        return Optional.ofNullable(loads.get(name));
    }

    List<ServerUsage> drainUsage() {
        return UsageCollector.drain(loads);
    }

    void retain(Set<BackendServerName> known) {
        loads.keySet().retainAll(known);
    }
}
