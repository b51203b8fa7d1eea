package org.borageproxy.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import org.borageproxy.claim.Target;
import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerLoad;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.routing.speed.ServerSpeeds;
import org.borageproxy.scheduling.WaitingRequest;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.wire.proto.CoordinationProtocol.ServerUsage;

/**
 * The state by which the backend server of a request is selected: the loaded models and the load of each server, and
 * the queue of the requests that wait for a server. An entry has a pool for the requests that it sends; the coordinator
 * has another one for the slots that it grants to requests of other VMs. A server that was marked as gone gets no
 * requests until a later heartbeat. Not thread safe; confined to one event loop.
 */
public final class ServerPool {

    private static final double MILLIS_PER_SECOND = 1e3;

    private final BackendServers servers;
    private final MonotonicClock clock;
    private final AvailabilityZone zone;
    private final RandomGenerator random;
    private final ServerLoads loads;
    private final ModelInventories inventories = new ModelInventories();
    private final ServerAvailability availability;
    private final ModelLatencyRatios latencyRatios = new ModelLatencyRatios();
    private final ModelDemandCounter demand;
    private final WaitingRequests waiting;
    private final ServerStatements statements;
    private ServerSpeeds speeds = ServerSpeeds.EQUAL;
    private Runnable urgentDemandListener = () -> {};
    private Runnable loadChangeListener = () -> {};

    /** Reasons for which no server can run a request now. */
    public enum Unavailability {
        /** No server of the service, or none that can continue the stream, accepts requests. */
        NO_SERVER,
        /** No server has the model loaded. */
        NO_MODEL,
        /** A server has the model loaded, but none has the adapter. */
        NO_ADAPTER,
        /**
         * Untried servers could run the request, but those that {@link ServerSelector} considers lack batch slots or
         * memory, or have so long a prefill backlog that the request would stall their running streams.
         */
        CROWDED,
        /** Untried servers could run the request, but all of them have used up the request limits that they state. */
        LIMITED,
        /** All servers that could run the request were tried. */
        ALL_TRIED
    }

    /**
     * Creates a pool.
     *
     * @param servers the announced servers and their states
     * @param clock the clock
     * @param zone the availability zone of this VM
     * @param random breaks ties
     * @param limitShare supplies the fraction of stated request limits that this VM may use; one for the coordinator
     */
    public ServerPool(
            BackendServers servers,
            MonotonicClock clock,
            AvailabilityZone zone,
            RandomGenerator random,
            DoubleSupplier limitShare) {
        this.servers = servers;
        this.availability = new ServerAvailability(servers);
        this.clock = clock;
        this.zone = zone;
        this.random = random;
        this.statements = new ServerStatements(clock, random, limitShare);
        this.loads = new ServerLoads(clock);
        this.waiting = new WaitingRequests(clock, this::lanesOf);
        this.demand = new ModelDemandCounter(clock, this::isUsable);
    }

    /**
     * Returns the requests that wait for a server.
     *
     * @return the requests, in the order in which they are retried
     */
    WaitingRequests waiting() {
        return waiting;
    }

    private Predicate<WaitingRequest.Lane> lanesOf(Set<BackendServerName> changed) {
        List<BackendServer> changedServers = servers.current().stream()
                .filter(server -> changed.contains(server.name()))
                .toList();
        return lane -> changedServers.stream()
                .anyMatch(server -> server.services().contains(lane.service())
                        && (lane.model().isEmpty() || inventories.of(server).contains(lane.model(), lane.adapter())));
    }

    /**
     * Sets the speeds of the servers, which are equal before.
     *
     * @param learned the speeds
     */
    public void setSpeeds(ServerSpeeds learned) {
        speeds = learned;
    }

    /**
     * Returns which servers accept requests at all.
     *
     * @return the availability, which the caller restricts
     */
    public ServerAvailability availability() {
        return availability;
    }

    /**
     * Returns what the servers state about their capacity.
     *
     * @return the statements, which the caller updates
     */
    public ServerStatements statements() {
        return statements;
    }

    /**
     * Returns whether the coordinator has to grant the requests for a plain service.
     *
     * @param service the service
     * @return {@code true} if any of its servers that accept requests states limits, or all of them have most of their
     *     slots taken
     */
    boolean needsCoordinator(String service) {
        List<BackendServer> accepting = servers.current().stream()
                .filter(server -> availability.acceptsWork(server, service, Set.of()))
                .toList();
        return accepting.stream().anyMatch(statements::isLimiting)
                || !accepting.isEmpty() && accepting.stream().allMatch(loads::isFilling);
    }

    /**
     * Sets the action to run when the response to an inference request has begun or the request has ended.
     *
     * @param listener reports the changed load to the coordinator
     */
    public void onLoadChange(Runnable listener) {
        loadChangeListener = listener;
    }

    /**
     * Sets the action to run when a request starts to wait for a model or adapter that no server has loaded.
     *
     * @param listener reports the demand to the coordinator
     */
    public void onUrgentDemand(Runnable listener) {
        urgentDemandListener = listener;
    }

    /**
     * Selects the server of a request of this VM.
     *
     * @param requirement what the request requires
     * @return empty if no server can run the request now
     */
    Optional<ServerSelector.Choice> choose(ServerRequirement requirement) {
        return choose(requirement, zone, loads.usableShare(requirement.engines()));
    }

    /**
     * Selects the server of a request that is sent from a given availability zone.
     *
     * @param requirement what the request requires
     * @param callerZone the availability zone from which the request is sent
     * @param usableShare the share of its limits up to which an engine takes the request
     * @return empty if no server can run the request now
     */
    Optional<ServerSelector.Choice> choose(
            ServerRequirement requirement, AvailabilityZone callerZone, double usableShare) {
        List<ServerSelector.Candidate> candidates = new ArrayList<>();
        long nowNanos = clock.nanoTime();
        String modelOrService = requirement.work().map(EngineWork::model).orElse(requirement.service());
        untried(requirement).forEach(server -> {
            ServerLoad load = loads.of(server, requirement.engines());
            if (statements.admits(server, requirement.engines(), load, requirement.bodyBytes())) {
                candidates.add(new ServerSelector.Candidate(
                        server, load, latencyRatios.of(modelOrService), speeds.speedOf(server, nowNanos)));
            }
        });
        return ServerSelector.INSTANCE.choose(requirement.query(callerZone, usableShare), candidates, nowNanos, random);
    }

    private boolean isCapable(BackendServer server, ServerRequirement requirement) {
        return acceptsWork(server, requirement) && canRun(server, requirement.work());
    }

    private boolean acceptsWork(BackendServer server, ServerRequirement requirement) {
        return availability.acceptsWork(server, requirement.service(), requirement.allowedRegions())
                && requirement.isMetBy(server);
    }

    private boolean canRun(BackendServer server, Optional<EngineWork> work) {
        return work.isEmpty()
                || inventories
                        .of(server)
                        .contains(work.get().model(), work.get().adapter());
    }

    /**
     * Records that a server refused a request because the model or adapter is not loaded.
     *
     * @param server the server
     * @param work the refused work
     */
    void recordMissingModel(BackendServer server, EngineWork work) {
        inventories.recordMissing(server, work.model(), work.adapter());
    }

    /**
     * Sets the listener for servers that are marked as gone.
     *
     * @param listener receives each server immediately before it is marked; must make its state suspect, since the mark
     *     of a server whose state is alive is removed
     */
    public void onGone(Consumer<BackendServer> listener) {
        availability.onGone(listener);
    }

    /**
     * Marks a server as gone, because nothing, or another server, answers at its address. It gets no requests until its
     * next heartbeat.
     *
     * @param server the server
     */
    void markGone(BackendServer server) {
        availability.markGone(server);
    }

    /**
     * Returns the reason for which no server can be selected for a request.
     *
     * @param requirement what the request requires
     * @return the reason; meaningful only if no server was selected
     */
    Unavailability unavailability(ServerRequirement requirement) {
        Optional<EngineWork> work = requirement.work();
        List<BackendServer> accepting = servers.current().stream()
                .filter(server -> acceptsWork(server, requirement))
                .toList();
        if (accepting.isEmpty()) {
            return Unavailability.NO_SERVER;
        }
        if (accepting.stream().anyMatch(server -> canRun(server, work))) {
            List<BackendServer> untried = untried(requirement).toList();
            if (untried.isEmpty()) {
                return Unavailability.ALL_TRIED;
            }
            return untried.stream()
                            .allMatch(server ->
                                    statements.requestLimit(server).isPresent() && !statements.isPermitted(server))
                    ? Unavailability.LIMITED
                    : Unavailability.CROWDED;
        }
        String model = work.orElseThrow().model();
        boolean isModelLoaded =
                accepting.stream().anyMatch(server -> inventories.of(server).contains(model, ""));
        return isModelLoaded ? Unavailability.NO_ADAPTER : Unavailability.NO_MODEL;
    }

    /**
     * Returns when the servers that limit their requests can take one that is queued behind others.
     *
     * @param requirement what the request requires
     * @return the time at which all queued requests for the service and this one have had their permits
     */
    Deadline permittedAt(ServerRequirement requirement) {
        double rate = untried(requirement)
                .mapToDouble(server -> statements.requestLimit(server).orElse(0))
                .sum();
        double queueSeconds = waiting.size() / Math.max(RequestPermits.MIN_RATE, rate);
        return Deadline.after(
                firstPermitAt(requirement).atNanos(), Duration.ofMillis((long) (queueSeconds * MILLIS_PER_SECOND)));
    }

    private Stream<BackendServer> untried(ServerRequirement requirement) {
        return capable(requirement).stream()
                .filter(server -> !requirement.triedServers().contains(server.name()));
    }

    /**
     * Returns when the first of the servers that limit their requests takes another one.
     *
     * @param requirement what the request requires
     * @return the time
     */
    Deadline firstPermitAt(ServerRequirement requirement) {
        return untried(requirement)
                .map(statements::permittedAt)
                .min(Comparator.naturalOrder())
                .orElseGet(() -> new Deadline(clock.nanoTime()));
    }

    /**
     * Returns the servers that could run a request if they took it now.
     *
     * @param requirement what the request requires; tried servers are included
     * @return the servers, in no order
     */
    List<BackendServer> capable(ServerRequirement requirement) {
        return servers.current().stream()
                .filter(server -> isCapable(server, requirement))
                .toList();
    }

    /** Retries all queued requests in their order. */
    public void retryQueued() {
        waiting.retryAll();
    }

    /**
     * Returns whether any server that takes a model of a service could continue a stream. Tells nothing about the
     * origin of a stream, which only a record of it does.
     *
     * @param origin the known origin of the stream
     * @return {@code true} if all announced servers of the service run the version that began the stream
     */
    boolean isOnlyVersion(StreamOrigin origin) {
        return servers.current().stream()
                .filter(server -> server.services().contains(origin.service()))
                .allMatch(origin::matches);
    }

    /**
     * Returns whether an incarnation of a server is still announced with its software version and not leaving.
     *
     * @param selected the server
     * @return {@code false} if the server is leaving, left, restarted or announces another software version
     */
    boolean isCurrent(BackendServer selected) {
        return servers.current().stream()
                .anyMatch(server -> server.name().equals(selected.name())
                        && server.incarnation() == selected.incarnation()
                        && server.softwareVersion().equals(selected.softwareVersion())
                        && server.state() != BackendServerState.LEAVING);
    }

    /**
     * Returns whether an incarnation of a server is announced, in any state.
     *
     * @param name the server
     * @param incarnation the incarnation
     * @return {@code false} if the server left or restarted
     */
    public boolean isKnown(BackendServerName name, long incarnation) {
        return servers.current().stream()
                .anyMatch(server -> server.name().equals(name) && server.incarnation() == incarnation);
    }

    /**
     * Adds a slot that was granted to another VM's request to the load of the other VMs, which
     * {@link #updateOtherVmUsage} replaces. Must not be called on a pool that has requests of its own in flight, since
     * they would be added as well.
     *
     * @param choice the server that this pool selected
     * @param work the inference work; empty for a plain service
     * @param bodyBytes the size of the request's body
     */
    void recordAssignment(ServerSelector.Choice choice, Optional<EngineWork> work, long bodyBytes) {
        statements.acquirePermit(choice.server());
        ServerLoad load = loads.of(choice.server(), Optional.empty());
        work.ifPresent(load.prefixCache()::recordPrompt);
        load.addOtherVmRequest(
                choice.prefillTokens(), work.map(EngineWork::totalTokens).orElse(0), bodyBytes);
    }

    /**
     * Merges the latency ratio that another VM observed.
     *
     * @param model the model or plain service
     * @param ratio the ratio of observed to expected latency
     */
    void mergeLatencyRatio(String model, double ratio) {
        latencyRatios.merge(model, ratio);
    }

    /**
     * Returns the latency ratios that this VM observed, merged with those of other VMs.
     *
     * @return the ratio of observed to expected latency by model or plain service
     */
    public Map<String, Double> modelLatencyRatios() {
        return latencyRatios.all();
    }

    /**
     * Finds a server that is not leaving.
     *
     * @param name the server
     * @return empty if the server is leaving or unknown
     */
    Optional<BackendServer> find(String name) {
        return servers.current().stream()
                .filter(server -> server.name().value().equals(name) && server.state() != BackendServerState.LEAVING)
                .findFirst();
    }

    /**
     * Finds an incarnation of a server that is not leaving.
     *
     * @param name the server
     * @param incarnation the incarnation
     * @return empty if the server is leaving, unknown or restarted
     */
    Optional<BackendServer> find(String name, long incarnation) {
        return find(name).filter(server -> server.incarnation() == incarnation);
    }

    /**
     * Records that this VM sends a request.
     *
     * @param choice the selected server
     * @param engines the engine pool of the service; empty for a plain service
     * @param work the inference work; empty for a plain service
     * @param bodyBytes the size of the body that is sent
     * @return tracks the request
     */
    InFlightRequest recordStart(
            ServerSelector.Choice choice, Optional<EnginePool> engines, Optional<EngineWork> work, long bodyBytes) {
        ServerLoad load = loads.of(choice.server(), engines);
        work.ifPresent(load.prefixCache()::recordPrompt);
        return new InFlightRequest(
                clock, load, choice, work, latencyRatios, bodyBytes, () -> handleLoadChange(choice.server(), work));
    }

    private void handleLoadChange(BackendServer server, Optional<EngineWork> work) {
        waiting.recordChange(server.name());
        waiting.retryChanged();
        if (work.isPresent() || statements.isLimiting(server) || loads.isFilling(server)) {
            loadChangeListener.run();
        }
    }

    /**
     * Returns the demand of this VM's callers for models and adapters.
     *
     * @return the counter
     */
    public ModelDemandCounter demand() {
        return demand;
    }

    private boolean isUsable(Target target) {
        return servers.current().stream()
                .anyMatch(server ->
                        target.admits(server) && inventories.of(server).contains(target.model(), target.adapter()));
    }

    /**
     * Queues a request, which is retried whenever load or inventories change.
     *
     * @param request the request
     * @param work the inference work; empty for a plain service
     * @param isModelMissing whether no server has the model or adapter loaded, so that the wait counts as demand
     */
    void enqueue(WaitingRequest request, Optional<EngineWork> work, boolean isModelMissing) {
        waiting.add(request);
        if (isModelMissing) {
            work.ifPresent(each -> demand.addWaiting(request.lane().service(), each, 1));
            urgentDemandListener.run();
        }
    }

    /**
     * Removes a request from the queue. Has no effect on a request that is not queued.
     *
     * @param request the request that was passed to {@link #enqueue}
     * @param work the inference work; empty for a plain service
     * @param wasModelMissing the value that was passed to {@link #enqueue}
     */
    void dequeue(WaitingRequest request, Optional<EngineWork> work, boolean wasModelMissing) {
        if (waiting.remove(request) && wasModelMissing) {
            work.ifPresent(each -> demand.addWaiting(request.lane().service(), each, -1));
        }
    }

    /**
     * Returns how many nominal servers work for a kind of requests: engines that have the model loaded, in proportion
     * to its latency, or slots of plain services.
     *
     * @param service the service
     * @param work the inference work; empty for a plain service
     * @return the number; zero without such a server
     */
    double nominalServers(String service, Optional<EngineWork> work) {
        if (work.isEmpty()) {
            return servers.current().stream()
                    .filter(server -> availability.acceptsWork(server, service, Set.of()))
                    .mapToInt(server -> Math.max(1, server.load().batchLimit()))
                    .sum();
        }
        String model = work.get().model();
        long nowNanos = clock.nanoTime();
        double totalSpeed = servers.current().stream()
                .filter(server -> availability.acceptsWork(server, service, Set.of())
                        && inventories.of(server).contains(model, ""))
                .mapToDouble(server -> speeds.speedOf(server, nowNanos))
                .sum();
        return totalSpeed / latencyRatios.of(model);
    }

    /**
     * Updates inventories of servers. Inventories older than the known ones are ignored.
     *
     * @param newInventories the inventories by server
     */
    public void updateInventories(Map<BackendServerName, ModelInventory> newInventories) {
        inventories.update(newInventories);
        newInventories.keySet().forEach(waiting::recordChange);
        waiting.retryChanged();
    }

    /**
     * Updates the load of the other VMs and retries the queued requests. Servers that were never considered for a
     * request are skipped.
     *
     * @param usages the total usage of the other VMs, one for each server; a server that is left out has none
     * @param isComplete {@code false} if the usage of model engines is left out and unchanged
     */
    public void updateOtherVmUsage(List<ServerUsage> usages, boolean isComplete) {
        loads.updateOtherVmUsage(usages, isComplete, waiting::recordChange);
        waiting.retryChanged();
    }

    /**
     * Applies the outcomes of another VM's attempts to the server's failure rate and latency ratio. All successes of a
     * report count as one with the expected latency, and all failures as one.
     *
     * @param usage the usage of the server with the outcomes; ignored for another incarnation
     */
    void applyOutcomes(ServerUsage usage) {
        loads.applyOutcomes(usage);
    }

    /**
     * Returns this VM's usage of servers and resets the outcomes and the samples of their slowness.
     *
     * @return the usage of each server with requests in flight or outcomes since the previous call
     */
    public List<ServerUsage> drainUsage() {
        return loads.drainUsage();
    }

    /**
     * Returns whether a server may have ended for lack of memory, so that its requests are not suspected.
     *
     * @param server a server to which connections were lost
     * @return {@code true} if this VM's requests held much there and no limit is known that they kept
     */
    public boolean mayHaveLackedMemory(BackendServer server) {
        return loads.find(server.name())
                .filter(load ->
                        statements.memory().mayExplain(server.name().value(), load.heldOrLostBytes(), clock.nanoTime()))
                .isPresent();
    }

    /** Removes the state of servers that are no longer announced. */
    public void removeUnknownServers() {
        Set<BackendServerName> known = new LinkedHashSet<>();
        servers.current().forEach(server -> known.add(server.name()));
        loads.retain(known);
        inventories.retain(known);
        statements.retain(known);
        availability.retain(known);
    }
}
