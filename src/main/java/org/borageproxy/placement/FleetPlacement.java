package org.borageproxy.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import org.borageproxy.claim.Claims;
import org.borageproxy.claim.Target;
import org.borageproxy.control.RepeatedTask;
import org.borageproxy.control.Timer;
import org.borageproxy.coordination.Coordinator;
import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.publication.Publication;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders engines to load and unload models and adapters, on the VM that leads the control group. Each order states the
 * number of orders that the engine must have accepted before it. Of all orders planned from the same state an engine
 * therefore executes only one, however late they arrive. The state of the engines is rebuilt in each term. Confined to
 * one event loop.
 */
public final class FleetPlacement implements Coordinator.Placement {

    private static final Logger LOGGER = LoggerFactory.getLogger(FleetPlacement.class);
    private static final Duration PLANNING_INTERVAL = Duration.ofMillis(100);
    /** Time between two reports of an engine that executes an order. */
    private static final Duration BUSY_REPORT_INTERVAL = Duration.ofMillis(150);
    /** Time between two reports of an idle engine, or of a busy one that limits its requests. */
    private static final Duration IDLE_REPORT_INTERVAL = Duration.ofMillis(2500);
    /** Time between two reports of an idle engine that limits its requests. */
    private static final Duration LIMITED_REPORT_INTERVAL = Duration.ofSeconds(6);
    /** Time until an engine whose last order failed or got no answer may get the next order. */
    private static final Duration UNANSWERED_ORDER_DELAY = Duration.ofMillis(1500);
    /** Fraction of the load rate of the weight store that is used. */
    private static final double STORE_RATE_FRACTION = 0.92;
    /** Capacity of the token bucket for loads from the weight store. */
    private static final double MAX_STORE_TOKENS = 2.0;
    /** The term is in the bits above these, so that versions of different terms differ. */
    private static final int INVENTORY_VERSION_BITS = 32;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Environment environment;
    private final Map<BackendServerName, TrackedEngine> trackedEngines = new LinkedHashMap<>();
    private final Map<BackendServerName, Deadline> nextReports = new HashMap<>();
    private final FleetDemand demand = new FleetDemand();
    private final Map<String, AbsentModels> absentModels = new HashMap<>();
    private final Claims claims = new Claims();
    private final ClaimProgress progress;
    private final UnloadTimes unloadTimes = new UnloadTimes();
    private ToDoubleFunction<BackendServer> speeds = server -> 1.0;
    private long term = -1;
    private Deadline ordersAllowedFrom;
    private double storeTokens;
    private long storeRefilledAtNanos;
    private boolean isRunning;
    private long inventoryVersion = 1;

    /**
     * The collaborators of the placement.
     *
     * @param isLeader returns whether this VM is the leader
     * @param term returns the current term
     * @param holder the name under which this VM sends orders
     * @param handoverDelay the time after an election before the new leader sends orders, reserved for the previous
     *     leader
     * @param publication returns the publication in force
     * @param servers the backend servers
     * @param isDrained returns whether a zone is drained; its servers get no calls, and their copies do not count
     * @param engineClient sends orders and reads reports
     * @param permits the permits for calls to engines that limit their requests
     * @param modelsListener receives the usable models of an engine when they change, with the name of the engine
     * @param clock the monotonic clock
     * @param timer runs tasks after a delay
     * @param eventLoop runs all tasks of the placement
     */
    public record Environment(
            Supplier<Boolean> isLeader,
            Supplier<Long> term,
            String holder,
            Duration handoverDelay,
            Supplier<Optional<Publication>> publication,
            BackendServers servers,
            Predicate<AvailabilityZone> isDrained,
            EngineClient engineClient,
            CallPermits permits,
            BiConsumer<String, ModelInventory> modelsListener,
            MonotonicClock clock,
            Timer timer,
            Executor eventLoop) {}

    /**
     * Creates a placement that is not started.
     *
     * @param environment the collaborators
     */
    public FleetPlacement(Environment environment) {
        this.environment = environment;
        this.progress = new ClaimProgress(claims, environment.clock());
        this.ordersAllowedFrom = new Deadline(environment.clock().nanoTime());
        this.storeRefilledAtNanos = environment.clock().nanoTime();
    }

    /**
     * Sets the speeds of the engines, which are equal before.
     *
     * @param learned returns the speed of an engine; 1 is the median of its peers
     */
    public void setSpeeds(ToDoubleFunction<BackendServer> learned) {
        speeds = learned;
    }

    /** Starts planning. Nothing is ordered while another VM leads. */
    public void start() {
        isRunning = true;
        RepeatedTask.start("placement", environment.timer(), PLANNING_INTERVAL, PLANNING_INTERVAL, this::tick);
    }

    /** Stops planning after the current tick. */
    public void stop() {
        isRunning = false;
    }

    /** Returns whether planning goes on. */
    private boolean tick() {
        if (!isRunning) {
            return false;
        }
        if (environment.isLeader().get()) {
            beginTerm();
            refillStoreTokens();
            refreshEngines();
            plan();
        }
        return isRunning;
    }

    private void beginTerm() {
        long currentTerm = environment.term().get();
        if (currentTerm == term) {
            return;
        }
        term = currentTerm;
        trackedEngines.clear();
        inventoryVersion = term << INVENTORY_VERSION_BITS;
        nextReports.clear();
        demand.clearReports();
        absentModels.values().forEach(AbsentModels::clear);
        storeTokens = 0;
        long nowNanos = environment.clock().nanoTime();
        storeRefilledAtNanos = nowNanos;
        ordersAllowedFrom = Deadline.after(nowNanos, environment.handoverDelay());
        LOGGER.info(
                "event=placement-begun term={} orders_after_ms={}",
                term,
                environment.handoverDelay().toMillis());
    }

    private boolean mayOrder() {
        return environment.isLeader().get()
                && environment.term().get() == term
                && ordersAllowedFrom.hasPassed(environment.clock().nanoTime());
    }

    private void refillStoreTokens() {
        long nowNanos = environment.clock().nanoTime();
        double rate = environment.publication().get().stream()
                .flatMap(publication -> publication.services().values().stream())
                .flatMap(service -> service.enginePool().stream())
                .mapToDouble(EnginePool::loadsPerSecond)
                .max()
                .orElse(0);
        double elapsedSeconds = (nowNanos - storeRefilledAtNanos) / NANOS_PER_SECOND;
        storeRefilledAtNanos = nowNanos;
        storeTokens = Math.min(MAX_STORE_TOKENS, storeTokens + rate * STORE_RATE_FRACTION * elapsedSeconds);
    }

    private void refreshEngines() {
        long nowNanos = environment.clock().nanoTime();
        Map<BackendServerName, BackendServer> liveServers = new HashMap<>();
        for (BackendServer server : environment.servers().current()) {
            boolean isEngine =
                    server.services().stream().anyMatch(service -> pool(service).isPresent());
            boolean isUsable = server.state() == BackendServerState.ALIVE
                    && !environment.isDrained().test(server.zone());
            if (isEngine && isUsable) {
                liveServers.put(server.name(), server);
            }
        }
        removeLostEngines(liveServers, nowNanos);
        liveServers.forEach((name, server) -> trackedEngines
                .computeIfAbsent(name, key -> new TrackedEngine(server, nowNanos))
                .applyAnnouncement(server));
        trackedEngines.values().forEach(this::refreshPermit);
        for (TrackedEngine engine : List.copyOf(trackedEngines.values())) {
            if (engine.completeAdapterLoads(nowNanos)) {
                publishModels(engine);
            }
            readReport(engine, nowNanos);
        }
    }

    private void removeLostEngines(Map<BackendServerName, BackendServer> liveServers, long nowNanos) {
        List<TrackedEngine> lostEngines = trackedEngines.values().stream()
                .filter(engine -> !liveServers.containsKey(engine.server().name())
                        || liveServers.get(engine.server().name()).incarnation()
                                != engine.server().incarnation())
                .toList();
        lostEngines.forEach(engine -> trackedEngines.remove(engine.server().name()));
        Set<BackendServerName> suspectServers = new HashSet<>();
        environment.servers().current().stream()
                .filter(server -> server.state() == BackendServerState.SUSPECT)
                .forEach(server -> suspectServers.add(server.name()));
        // A suspect engine may return with its models; until then they are loaded elsewhere only for waiting requests.
        lostEngines.stream()
                .filter(engine -> !suspectServers.contains(engine.server().name()))
                .forEach(engine -> recordLostCopies(engine, nowNanos));
    }

    private void recordLostCopies(TrackedEngine lost, long nowNanos) {
        for (String model : lost.loadedModels().keySet()) {
            if (trackedEngines.values().stream().noneMatch(engine -> engine.hasOrExpects(model))) {
                lost.server().services().forEach(service -> absentModels(service)
                        .recordLoss(model, nowNanos));
                LOGGER.warn(
                        "event=model-copy-lost model={} server={}",
                        model,
                        lost.server().name());
            }
        }
    }

    private AbsentModels absentModels(String service) {
        return absentModels.computeIfAbsent(service, name -> new AbsentModels());
    }

    private void refreshPermit(TrackedEngine engine) {
        engine.setLimits(
                environment.permits().isLimiting(engine.server()),
                environment.permits().isPermitted(engine.server()));
    }

    private Optional<EnginePool> pool(String service) {
        return environment.publication().get().flatMap(publication -> publication.enginePool(service));
    }

    private void readReport(TrackedEngine engine, long nowNanos) {
        BackendServerName name = engine.server().name();
        Deadline nextReport = nextReports.computeIfAbsent(name, key -> new Deadline(nowNanos));
        boolean isLoadUnfinished = engine.isBusy() && !engine.loadCompletesAt().hasPassed(nowNanos);
        boolean isPermitted = environment.permits().isPermitted(engine.server());
        if (!nextReport.hasPassed(nowNanos) || isLoadUnfinished || !isPermitted) {
            return;
        }
        nextReports.put(name, Deadline.after(nowNanos, reportInterval(engine)));
        environment.permits().acquirePermit(engine.server());
        environment.engineClient().fetchState(engine.server()).thenAccept(report -> environment
                .eventLoop()
                .execute(() -> report.ifPresent(received -> {
                    if (trackedEngines.get(name) == engine) {
                        ModelInventory previous = engine.usableModels();
                        engine.applyReport(received, nowNanos);
                        if (!engine.usableModels().equals(previous)) {
                            publishModels(engine);
                        }
                    }
                })));
    }

    private static Duration reportInterval(TrackedEngine engine) {
        if (engine.isLimiting()) {
            // Frequent reads would take the permits of the callers' requests.
            return engine.needsReport() ? IDLE_REPORT_INTERVAL : LIMITED_REPORT_INTERVAL;
        }
        return engine.needsReport() ? BUSY_REPORT_INTERVAL : IDLE_REPORT_INTERVAL;
    }

    private void publishModels(TrackedEngine engine) {
        inventoryVersion++;
        progress.published(engine);
        environment.modelsListener().accept(engine.server().name().value(), engine.usableModels());
    }

    @Override
    public void recordDemand(VmName entry, List<ModelDemand> reportedDemands) {
        long nowNanos = environment.clock().nanoTime();
        boolean hasWaitingRequests = demand.applyReport(entry, reportedDemands, nowNanos);
        claims.restore(reportedDemands, nowNanos);
        if (hasWaitingRequests && mayOrder()) {
            plan();
        }
    }

    @Override
    public Map<String, ModelInventory> inventories() {
        Map<String, ModelInventory> inventories = new HashMap<>();
        trackedEngines.forEach((name, engine) -> inventories.put(name.value(), engine.usableModels()));
        return inventories;
    }

    @Override
    public long inventoryVersion() {
        return inventoryVersion;
    }

    /**
     * Adjusts the number of requests that wait on this VM for a model or an adapter.
     *
     * @param service the service
     * @param model the model
     * @param adapter the adapter, empty for none
     * @param softwareVersion the version of the software that must run the requests; empty for any
     * @param change 1 if a request starts to wait, -1 if one stops
     */
    public void adjustWaiting(
            String service, String model, String adapter, Optional<String> softwareVersion, int change) {
        Target target = new Target(service, model, adapter, softwareVersion);
        long nowNanos = environment.clock().nanoTime();
        demand.adjustWaiting(target, change, nowNanos);
        if (change > 0) {
            claims.recordRequest(target, nowNanos);
        }
        boolean isAbsent = trackedEngines.values().stream().noneMatch(engine -> isUsable(engine, service, model));
        if (change > 0 && isAbsent && absentModels(service).recordWait(model, nowNanos)) {
            LOGGER.warn("event=model-absent service={} model={}", service, model);
        }
        if (change > 0 && mayOrder()) {
            plan();
        }
    }

    /**
     * Records that a request was refused without a wait, since its model or adapter comes too late for it.
     *
     * @param target the model and adapter
     */
    public void recordUnserved(Target target) {
        claims.recordRefusal(target, environment.clock().nanoTime());
    }

    /**
     * Records that a request got a slot at an engine, which ends the claim of its model and adapter.
     *
     * @param target the model and adapter
     * @param server the engine
     */
    public void recordGrant(Target target, BackendServerName server) {
        claims.recordGrant(target, server.value(), environment.clock().nanoTime());
    }

    /**
     * Returns the models and adapters that callers asked for and that were not served yet. Its totals may be read by
     * any thread.
     *
     * @return the claims
     */
    public Claims claims() {
        return claims;
    }

    private static boolean isUsable(TrackedEngine engine, String service, String model) {
        return engine.server().services().contains(service)
                && engine.loadedModels().containsKey(model);
    }

    private void plan() {
        demand.updateRates(environment.clock().nanoTime());
        claims.removeExpired(environment.clock().nanoTime());
        if (!mayOrder()) {
            progress.handover();
            return;
        }
        environment.publication().get().ifPresent(publication -> publication
                .services()
                .values()
                .forEach(service -> service.enginePool().ifPresent(pool -> plan(service.name(), pool))));
    }

    private void plan(String service, EnginePool pool) {
        List<TrackedEngine> engines = trackedEngines.values().stream()
                .filter(engine -> engine.server().services().contains(service))
                .toList();
        engines.forEach(this::refreshPermit);
        AdapterPlanner adapterPlanner = new AdapterPlanner(service, pool, engines, demand, claims);
        adapterPlanner.plan((engine, isLoad, adapter) ->
                sendOrder(engine, isLoad, adapter.model(), adapter.adapter(), Duration.ZERO));
        Map<String, LoadPlanner.Demand> byModel = demandWithAbsences(service, engines);
        Optional<LoadPlanner.Step> step = new LoadPlanner(pool, engines, byModel, speeds).nextStep(storeTokens >= 1);
        while (step.isPresent()) {
            execute(step.get(), pool);
            step = new LoadPlanner(pool, engines, byModel, speeds).nextStep(storeTokens >= 1);
        }
        LoadPlanner planner = new LoadPlanner(pool, engines, byModel, speeds);
        engines.stream().filter(planner::isBlocked).toList().forEach(engine -> engine.setSuccessorModel(""));
        progress.unplanned(service, pool, engines, planner, adapterPlanner, storeTokens >= 1);
    }

    private Map<String, LoadPlanner.Demand> demandWithAbsences(String service, List<TrackedEngine> engines) {
        Set<String> displaced = AbsentModels.displacedModels(environment.servers(), environment.isDrained(), service);
        Map<String, LoadPlanner.Demand> byModel = demand.byModel(service);
        absentModels(service)
                .complete(byModel, engines, displaced, environment.clock().nanoTime())
                .forEach(ended -> LOGGER.warn(
                        "event=model-absence-ended service={} model={} absent_ms={} waits={} loaded={}",
                        service,
                        ended.model(),
                        ended.millis(),
                        ended.waits(),
                        ended.isLoaded()));
        long nowNanos = environment.clock().nanoTime();
        return new ClaimedDemand(claims.byModel(service, nowNanos), engines).complete(byModel, nowNanos);
    }

    private void execute(LoadPlanner.Step step, EnginePool pool) {
        TrackedEngine engine = step.engine();
        if (step instanceof LoadPlanner.Step.Load load) {
            Duration loadTime = engine.loadTime(pool.models().get(load.model()));
            if (!engine.hasLocalWeights(load.model())) {
                storeTokens -= 1;
            }
            sendOrder(engine, true, load.model(), "", loadTime);
        } else if (step instanceof LoadPlanner.Step.Unload unload) {
            engine.setSuccessorModel(unload.successor());
            progress.makingRoom(engine, unload.successor());
            sendOrder(engine, false, unload.model(), "", Duration.ZERO);
        }
    }

    private void sendOrder(TrackedEngine engine, boolean isLoad, String model, String adapter, Duration loadTime) {
        EngineClient.EngineOrder order =
                new EngineClient.EngineOrder(isLoad, model, adapter, engine.orderCount(), environment.holder(), term);
        engine.beginOrder(order);
        progress.ordered(engine, order);
        environment.permits().acquirePermit(engine.server());
        environment.engineClient().sendOrder(engine.server(), order).thenAccept(reply -> environment
                .eventLoop()
                .execute(() -> onReply(engine, order, loadTime, reply)));
    }

    private void onReply(
            TrackedEngine engine, EngineClient.EngineOrder order, Duration loadTime, EngineClient.OrderReply reply) {
        long nowNanos = environment.clock().nanoTime();
        LOGGER.info(
                "event=order server={} loads={} model={} adapter={} expected_orders={} fence={} reply={}",
                engine.server().name(),
                order.isLoad(),
                order.model(),
                order.adapter(),
                order.expectedOrderCount(),
                order.fencingToken(),
                reply);
        progress.replied(engine, order, reply);
        engine.recordReply(order, reply).ifPresent(unloadTimes::record);
        switch (reply) {
            case ACCEPTED, HELD -> {
                engine.applyAcceptedOrder(order, reply == EngineClient.OrderReply.HELD, loadTime, nowNanos);
                nextReports.put(engine.server().name(), Deadline.after(nowNanos, BUSY_REPORT_INTERVAL));
                publishModels(engine);
                if (reply == EngineClient.OrderReply.ACCEPTED && engine.isMakingRoom()) {
                    environment.timer().schedule(unloadTimes.expected(), () -> endOrder(engine));
                } else {
                    endOrder(engine);
                }
            }
            case CONFLICT -> {
                refundStoreToken(engine, order);
                if (engine.isBusy()) {
                    environment
                            .timer()
                            .schedule(unloadTimes.retryDelay(engine.rejectedLoads()), () -> endOrder(engine));
                } else {
                    engine.setSuccessorModel("");
                    engine.invalidateOrderCount(nowNanos);
                    engine.endOrder();
                }
            }
            default -> {
                engine.setSuccessorModel("");
                engine.invalidateOrderCount(nowNanos);
                environment.timer().schedule(UNANSWERED_ORDER_DELAY, engine::endOrder);
            }
        }
        // By then an adapter whose load was accepted counts as loaded.
        environment.timer().schedule(Duration.ofMillis(30), this::completeAdapterLoads);
    }

    private void endOrder(TrackedEngine engine) {
        engine.endOrder();
        planIfAllowed();
    }

    // A conflict proves that the engine did not accept the load. A load without an answer may still be executed.
    private void refundStoreToken(TrackedEngine engine, EngineClient.EngineOrder order) {
        boolean isFromStore = order.isLoad() && order.adapter().isEmpty() && !engine.hasLocalWeights(order.model());
        if (isFromStore) {
            storeTokens = Math.min(MAX_STORE_TOKENS, storeTokens + 1);
        }
    }

    /**
     * Records that an engine rejected a request because it lacks the model or the adapter.
     *
     * @param name the name of the engine
     * @param model the model
     * @param adapter the adapter that is absent, empty if the model itself is
     */
    public void markAbsent(BackendServerName name, String model, String adapter) {
        TrackedEngine engine = trackedEngines.get(name);
        if (engine != null && engine.markAbsent(model, adapter)) {
            nextReports.put(name, new Deadline(environment.clock().nanoTime()));
            publishModels(engine);
        }
    }

    /**
     * Estimates when a model or an adapter that no engine has loaded becomes usable.
     *
     * @param service the service
     * @param model the model
     * @param adapter the adapter, empty for none
     * @param softwareVersion the version of the software that the engine must run; empty for any
     * @return the estimated time, or empty if no engine is loading it
     */
    public Optional<Deadline> estimateAvailability(
            String service, String model, String adapter, Optional<String> softwareVersion) {
        return arrivals(service)
                .flatMap(arrivals -> arrivals.ordered(new Target(service, model, adapter, softwareVersion)));
    }

    /**
     * Estimates when a model or an adapter that no engine has or loads would become usable if it were ordered as soon
     * as an engine can take the order.
     *
     * @param target the model and adapter
     * @return the estimated time, or empty if no engine could load it
     */
    public Optional<Deadline> estimateEarliest(Target target) {
        return arrivals(target.service()).flatMap(arrivals -> arrivals.earliest(target));
    }

    private Optional<ArrivalEstimates> arrivals(String service) {
        long nowNanos = environment.clock().nanoTime();
        return pool(service).map(pool -> new ArrivalEstimates(trackedEngines.values(), pool, nowNanos));
    }

    private void planIfAllowed() {
        if (mayOrder()) {
            plan();
        }
    }

    private void completeAdapterLoads() {
        long nowNanos = environment.clock().nanoTime();
        for (TrackedEngine engine : trackedEngines.values()) {
            if (engine.completeAdapterLoads(nowNanos)) {
                publishModels(engine);
            }
        }
    }
}
