package org.borageproxy.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerLoad;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;

/**
 * The backend servers as the requests of this VM see them: who can run what, what is in flight where, and who waits for
 * a model. Not thread safe; used by the event loop of the requests.
 */
public final class ServerPool {

    /** The cache of a server whose engines are not published, in tokens. */
    private static final long UNKNOWN_CACHE_TOKENS = 100_000;

    /** Milliseconds below which a silence never counts against a server. */
    private static final double LEAST_SILENCE_MILLIS = 1_000.0;
    /** How many times the expected time a silence lasts before it counts against a server. */
    private static final double SILENCE_FACTOR = 4.0;

    private final BackendServers servers;
    private final MonotonicClock clock;
    private final AvailabilityZone zone;
    private final RandomGenerator random;
    private final Map<BackendServerName, ServerLoad> uses = new HashMap<>();
    private final Map<BackendServerName, ModelInventory> updateInventories = new HashMap<>();
    private final Map<BackendServerName, Long> markGone = new HashMap<>();
    private final ModelLatencyRatios paces = new ModelLatencyRatios();
    private final ModelDemandCounter demands = new ModelDemandCounter();
    private final RequestQueue waiting = new RequestQueue();
    private Runnable urgentReport = () -> {};
    private Runnable changedUse = () -> {};
    private Consumer<BackendServer> goneListener = server -> {};

    /** Why no server can run a request now. */
    public enum Unavailability {
        /** No server of the service takes work. */
        NO_SERVER,
        /** No server holds the model. */
        NO_MODEL,
        /** A server holds the model, none the adapter. */
        NO_ADAPTER,
        /** Servers that could run the request have as much to read as they can without delaying others. */
        CROWDED,
        /** All servers that could run the request were tried. */
        ALL_TRIED
    }

    /**
     * Creates a pool.
     *
     * @param servers the announced servers
     * @param clock the clock
     * @param zone the availability zone of this VM
     * @param random decides between equals
     */
    public ServerPool(BackendServers servers, MonotonicClock clock, AvailabilityZone zone, RandomGenerator random) {
        this.servers = servers;
        this.clock = clock;
        this.zone = zone;
        this.random = random;
    }

    /**
     * Sets what tells the coordinator that an engine has read a prompt or ended a request.
     *
     * @param report reports soon
     */
    public void onLoadChange(Runnable report) {
        changedUse = report;
    }

    /**
     * Sets what brings urgent demand to the coordinator.
     *
     * @param report reports soon
     */
    public void onUrgentDemand(Runnable report) {
        urgentReport = report;
    }

    /**
     * Chooses the server of a request.
     *
     * @param service the service
     * @param engines the engines of the service; empty for a plain service
     * @param work the work of an engine
     * @param tried the servers that are not asked again
     * @return empty if no server can run the request now
     */
    Optional<ServerSelector.Choice> choose(
            String service, Optional<EnginePool> engines, Optional<EngineWork> work, Set<BackendServerName> tried) {
        return choose(service, engines, work, tried, zone);
    }

    /**
     * Chooses the server of a request for a caller in another availability zone.
     *
     * @param service the service
     * @param engines the engines of the service; empty for a plain service
     * @param work the work of an engine
     * @param tried the servers that are not asked again
     * @param callerZone the availability zone from which the request is sent
     * @return empty if no server can run the request now
     */
    Optional<ServerSelector.Choice> choose(
            String service,
            Optional<EnginePool> engines,
            Optional<EngineWork> work,
            Set<BackendServerName> tried,
            AvailabilityZone callerZone) {
        List<ServerSelector.Candidate> candidates = new ArrayList<>();
        String pace = work.map(EngineWork::model).orElse(service);
        for (BackendServer server : servers.current()) {
            if (takesWork(server, service) && canRun(server, work)) {
                candidates.add(new ServerSelector.Candidate(server, use(server, engines), paces.of(pace)));
            }
        }
        ServerSelector.Query query = new ServerSelector.Query(work, engines, callerZone, tried);
        return ServerSelector.INSTANCE.choose(query, candidates, clock.nanoTime(), random);
    }

    private boolean takesWork(BackendServer server, String service) {
        return server.state() != BackendServerState.LEAVING && server.services().contains(service) && !isGone(server);
    }

    // A later heartbeat makes the server alive again and takes the evidence back.
    private boolean isGone(BackendServer server) {
        boolean isKnownGone = Long.valueOf(server.incarnation()).equals(markGone.get(server.name()));
        if (isKnownGone && server.state() == BackendServerState.ALIVE) {
            markGone.remove(server.name());
            return false;
        }
        return isKnownGone;
    }

    private boolean canRun(BackendServer server, Optional<EngineWork> work) {
        return work.isEmpty()
                || content(server).contains(work.get().model(), work.get().adapter());
    }

    private ModelInventory content(BackendServer server) {
        ModelInventory known = updateInventories.get(server.name());
        boolean current = known != null && known.incarnation() == server.incarnation();
        return current ? known : ModelInventory.announcedBy(server);
    }

    private ServerLoad use(BackendServer server, Optional<EnginePool> engines) {
        ServerLoad known = uses.get(server.name());
        if (known == null || known.incarnation() != server.incarnation()) {
            long cache = engines.map(EnginePool::cacheTokens).orElse(UNKNOWN_CACHE_TOKENS);
            known = new ServerLoad(server.incarnation(), cache, clock.nanoTime());
            uses.put(server.name(), known);
        }
        return known;
    }

    /**
     * Notes that a server refused a request because it lacks the model or the adapter.
     *
     * @param server the server
     * @param work the work that it refused
     */
    void recordMissingModel(BackendServer server, EngineWork work) {
        updateInventories.put(server.name(), content(server).without(work.model(), work.adapter()));
    }

    /**
     * Sets what takes servers that turned out to be gone.
     *
     * @param listener takes the server
     */
    public void onGone(Consumer<BackendServer> listener) {
        goneListener = listener;
    }

    /**
     * Suspects a server at whose address nothing, or another server, answers. It takes no work until it is heard of.
     *
     * @param server the server
     */
    void markGone(BackendServer server) {
        goneListener.accept(server);
        markGone.put(server.name(), server.incarnation());
    }

    /**
     * Tells why no server was chosen.
     *
     * @param service the service
     * @param work the work of an engine
     * @param tried the servers that are not asked again
     * @return the reason
     */
    Unavailability unavailability(String service, Optional<EngineWork> work, Set<BackendServerName> tried) {
        List<BackendServer> live = servers.current().stream()
                .filter(server -> takesWork(server, service))
                .toList();
        if (live.isEmpty()) {
            return Unavailability.NO_SERVER;
        }
        List<BackendServer> able =
                live.stream().filter(server -> canRun(server, work)).toList();
        if (!able.isEmpty()) {
            boolean areAllTried = able.stream().allMatch(server -> tried.contains(server.name()));
            return areAllTried ? Unavailability.ALL_TRIED : Unavailability.CROWDED;
        }
        String model = work.orElseThrow().model();
        boolean isHeld = live.stream().anyMatch(server -> content(server).contains(model, ""));
        return isHeld ? Unavailability.NO_ADAPTER : Unavailability.NO_MODEL;
    }

    /**
     * Tells whether a server still takes work, as its last announcement says.
     *
     * @param chosen the server
     * @return {@code false} if it left or started anew
     */
    boolean isCurrent(BackendServer chosen) {
        return servers.current().stream()
                .anyMatch(server -> server.name().equals(chosen.name())
                        && server.incarnation() == chosen.incarnation()
                        && server.state() != BackendServerState.LEAVING);
    }

    /**
     * Tells whether an incarnation of a server is known, whatever its state.
     *
     * @param name the server
     * @param incarnation its incarnation
     * @return {@code false} if it is gone or started anew
     */
    public boolean isKnown(BackendServerName name, long incarnation) {
        return servers.current().stream()
                .anyMatch(server -> server.name().equals(name) && server.incarnation() == incarnation);
    }

    /**
     * Notes a request that another VM sends.
     *
     * @param chosen the chosen server
     * @param work the work
     */
    void recordAssignment(ServerSelector.Choice chosen, EngineWork work) {
        ServerLoad use = uses.get(chosen.server().name());
        use.prefixCache().recordPrompt(work);
        use.setOtherVmLoad(
                use.totalRequests() + 1,
                use.totalPrefillTokens() + chosen.prefillTokens(),
                use.totalReservedTokens() + work.totalTokens());
    }

    /**
     * Takes the pace of a model as another VM sees it.
     *
     * @param model the model
     * @param pace the pace in proportion to the expected one
     */
    void mergeLatencyRatio(String model, double pace) {
        paces.merge(model, pace);
    }

    /**
     * Returns the paces of models as this VM sees them.
     *
     * @return the pace by model
     */
    public Map<String, Double> modelLatencyRatios() {
        return paces.all();
    }

    /**
     * Finds a server that takes work.
     *
     * @param name the server
     * @return empty if it left
     */
    Optional<BackendServer> find(String name) {
        return servers.current().stream()
                .filter(server -> server.name().value().equals(name) && server.state() != BackendServerState.LEAVING)
                .findFirst();
    }

    /**
     * Finds an incarnation of a server that takes work.
     *
     * @param name the server
     * @param incarnation its incarnation
     * @return empty if it left or started anew
     */
    Optional<BackendServer> find(String name, long incarnation) {
        return servers.current().stream()
                .filter(server -> server.name().value().equals(name)
                        && server.incarnation() == incarnation
                        && server.state() != BackendServerState.LEAVING)
                .findFirst();
    }

    /**
     * Notes a request that is sent.
     *
     * @param chosen the chosen server
     * @param engines the engines of the service
     * @param work the work of an engine
     * @return follows the request
     */
    InFlightRequest recordStart(ServerSelector.Choice chosen, Optional<EnginePool> engines, Optional<EngineWork> work) {
        ServerLoad use = use(chosen.server(), engines);
        work.ifPresent(use.prefixCache()::recordPrompt);
        InFlightRequest flight = new InFlightRequest(use, chosen, work);
        use.recordStart(chosen.prefillTokens(), flight.heldTokens());
        return flight;
    }

    /** One request at a server. Not thread safe. */
    final class InFlightRequest {
        private final ServerLoad use;
        private final ServerSelector.Choice chosen;
        private final Optional<EngineWork> work;
        private final long startedAtNanos = clock.nanoTime();
        private boolean isRead;
        private boolean hasEnded;

        private InFlightRequest(ServerLoad use, ServerSelector.Choice chosen, Optional<EngineWork> work) {
            this.use = use;
            this.chosen = chosen;
            this.work = work;
        }

        private int heldTokens() {
            return work.map(EngineWork::totalTokens).orElse(0);
        }

        /**
         * Notes the first event, or the answer of a plain service.
         *
         * @param service the service
         */
        void recordResponse(String service) {
            if (isRead || hasEnded) {
                return;
            }
            isRead = true;
            use.recordPrefillEnd(chosen.prefillTokens());
            double millis = (clock.nanoTime() - startedAtNanos) / 1e6;
            double ratio = ModelLatencyRatios.clamp(millis / Math.max(1.0, chosen.expectedMillis()));
            use.recordSuccess(ratio);
            paces.recordObservation(work.map(EngineWork::model).orElse(service), ratio);
            used();
        }

        private void used() {
            waiting.retryAll();
            if (work.isPresent()) {
                changedUse.run();
            }
        }

        /** Notes the end of the request, in whatever way. */
        void recordEnd() {
            if (!hasEnded) {
                hasEnded = true;
                if (!isRead) {
                    use.recordPrefillEnd(chosen.prefillTokens());
                }
                use.recordEnd(heldTokens());
                used();
            }
        }

        /**
         * Tells whether the server has been silent for much longer than expected.
         *
         * @return {@code true} if the silence counts against it
         */
        boolean isOverdue() {
            double patience = Math.max(LEAST_SILENCE_MILLIS, chosen.expectedMillis() * SILENCE_FACTOR);
            return !isRead && ageMillis() >= patience;
        }

        /** Notes a failure of the server. */
        void recordFailure() {
            use.recordFailure(clock.nanoTime());
            recordEnd();
        }

        /**
         * Returns how long the request is at the server.
         *
         * @return milliseconds
         */
        long ageMillis() {
            return (clock.nanoTime() - startedAtNanos) / 1_000_000L;
        }
    }

    /**
     * Counts what callers ask for.
     *
     * @param service the service
     * @param work the work of an engine
     */
    void recordDemand(String service, EngineWork work) {
        demands.recordRequest(service, work);
    }

    /**
     * Keeps a request until a server may run it.
     *
     * @param service the service
     * @param request the request
     * @param isAbsent whether no server holds its model or adapter, so that the coordinator must act
     */
    void enqueue(String service, RequestQueue.QueuedRequest request, boolean isAbsent) {
        waiting.add(request);
        if (isAbsent) {
            demands.addWaiting(service, request.work(), 1);
            urgentReport.run();
        }
    }

    /**
     * Ends the wait of a request.
     *
     * @param service the service
     * @param request what was given to {@link #enqueue}
     * @param wasAbsent what was given to {@link #enqueue}
     */
    void dequeue(String service, RequestQueue.QueuedRequest request, boolean wasAbsent) {
        if (waiting.remove(request) && wasAbsent) {
            demands.addWaiting(service, request.work(), -1);
        }
    }

    /**
     * Returns the prompt tokens of waiting requests for a model that go first.
     *
     * @param request a request
     * @return the tokens on this VM
     */
    long queuedTokensAhead(RequestQueue.QueuedRequest request) {
        return waiting.tokensAhead(request);
    }

    /**
     * Returns how many prompt tokens the servers of a model read in a millisecond.
     *
     * @param service the service
     * @param model the model
     * @return the sum over its servers
     */
    double prefillTokensPerMillisecond(String service, String model) {
        long places = servers.current().stream()
                .filter(server -> takesWork(server, service) && content(server).contains(model, ""))
                .count();
        return places * ServerSelector.PREFILL_TOKENS_PER_MILLISECOND / paces.of(model);
    }

    /**
     * Takes what the coordinator knows.
     *
     * @param newContents the contents of servers by name
     */
    public void updateInventories(Map<BackendServerName, ModelInventory> newContents) {
        newContents.forEach((name, held) -> updateInventories.merge(name, held, ServerPool::newer));
        waiting.retryAll();
    }

    private static ModelInventory newer(ModelInventory known, ModelInventory offered) {
        boolean isOlder = offered.incarnation() < known.incarnation()
                || offered.incarnation() == known.incarnation() && offered.acceptedOrders() < known.acceptedOrders();
        return isOlder ? known : offered;
    }

    /**
     * Takes what the other VMs have in flight.
     *
     * @param usages their usage by server; servers that are left out have none
     */
    public void updateOtherVmUsage(List<ServerUsage> usages) {
        Map<String, ServerUsage> byName = new HashMap<>();
        usages.forEach(usage -> byName.put(usage.getName(), usage));
        uses.forEach((name, use) -> {
            ServerUsage usage = byName.getOrDefault(name.value(), ServerUsage.getDefaultInstance());
            boolean current = usage.getIncarnation() == use.incarnation();
            use.setOtherVmLoad(
                    current ? usage.getRequests() : 0,
                    current ? usage.getPromptTokens() : 0,
                    current ? usage.getHeldTokens() : 0);
        });
        waiting.retryAll();
    }

    /**
     * Takes the outcomes of another VM's attempts.
     *
     * @param usage the usage of a server that holds them
     */
    void applyOutcomes(ServerUsage usage) {
        ServerLoad use = uses.get(new BackendServerName(usage.getName()));
        if (use == null || use.incarnation() != usage.getIncarnation()) {
            return;
        }
        if (usage.getAnswers() > 0) {
            use.recordSuccess(1.0);
        }
        if (usage.getFailures() > 0) {
            use.recordFailure(clock.nanoTime());
        }
    }

    /**
     * Returns what this VM has in flight, and the outcomes since the last call.
     *
     * @return the usage of each server with requests or outcomes
     */
    public List<ServerUsage> drainUsage() {
        List<ServerUsage> usages = new ArrayList<>();
        uses.forEach((name, use) -> {
            ServerLoad.OutcomeCounts outcomes = use.drainOutcomes();
            if (use.ownRequests() > 0 || outcomes.failures() > 0 || outcomes.successes() > 0) {
                usages.add(ServerUsage.newBuilder()
                        .setName(name.value())
                        .setIncarnation(use.incarnation())
                        .setRequests(use.ownRequests())
                        .setPromptTokens(Math.max(0, use.ownPrefillTokens()))
                        .setHeldTokens(Math.max(0, use.ownReservedTokens()))
                        .setFailures(outcomes.failures())
                        .setAnswers(outcomes.successes())
                        .build());
            }
        });
        return usages;
    }

    /**
     * Returns the demand since the last call.
     *
     * @return tokens asked for and requests waiting, by model and adapter
     */
    public List<ModelDemand> drainDemand() {
        return demands.drain();
    }

    /** Forgets servers that are gone. */
    public void removeUnknownServers() {
        Set<BackendServerName> known = new LinkedHashSet<>();
        servers.current().forEach(server -> known.add(server.name()));
        uses.keySet().retainAll(known);
        updateInventories.keySet().retainAll(known);
        markGone.keySet().retainAll(known);
    }
}
