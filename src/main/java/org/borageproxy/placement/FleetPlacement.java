package org.borageproxy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

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
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders models and adapters on the leader of the control group. Each order names the count of orders that the engine
 * must have accepted, so that of all orders planned from one state only one is carried out, however late. What is known
 * of engines begins anew with each term. Confined to one event loop.
 */
public final class FleetPlacement implements Coordinator.Placement {

    private static final Logger LOGGER = LoggerFactory.getLogger(FleetPlacement.class);
    /** The time between two looks at the plan. */
    private static final Duration INTERVAL = Duration.ofMillis(100);
    /** The time between two reports of an engine that carries out an order. */
    private static final Duration BUSY_REPORTS = Duration.ofMillis(150);
    /** The time between two reports of an engine at rest. */
    private static final Duration REST_REPORTS = Duration.ofMillis(2500);
    /** How long an engine that carries out another order is left alone. */
    private static final Duration BUSY_RETRY = Duration.ofMillis(120);
    /** How long an engine whose order got no answer is left alone. */
    private static final Duration UNANSWERED_PAUSE = Duration.ofMillis(1500);
    /** The time until a change at an engine shows in its reports; they lag by some hundred ms. */
    private static final Duration NOTICE = Duration.ofMillis(500);
    /** How much later than expected a model may arrive before nobody waits for it any longer. */
    private static final Duration OVERDUE = Duration.ofSeconds(2);
    /** The part of the weight store's rate that is used. */
    private static final double USED_STORE_RATE = 0.92;
    /** Loads from the weight store that may begin at once. */
    private static final double STORE_BURST = 2.0;
    /** The adapters that may be on their way to one engine. */
    private static final int MOST_ARRIVING_ADAPTERS = 4;

    /** Contents of different terms have different versions. */
    private static final int CONTENTS_BITS = 32;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Environment environment;
    private final Map<BackendServerName, TrackedEngine> books = new LinkedHashMap<>();
    private final Map<BackendServerName, Deadline> nextReports = new HashMap<>();
    private final FleetDemand demand = new FleetDemand();
    private long term = -1;
    private Deadline ordersFrom;
    private double storeTokens;
    private long accruedAtNanos;
    private boolean isRunning;
    private long contentsVersion = 1;

    /**
     * What placement works with.
     *
     * @param isLeader tells whether this VM leads now
     * @param term returns the term
     * @param holder the name under which orders are given
     * @param handoverDelay the time that a new leader leaves to the one before
     * @param publication the publication in force
     * @param servers the backend servers
     * @param engineClient sends orders
     * @param modelsListener tells entries what an engine holds
     * @param clock the clock
     * @param timer runs tasks later
     * @param eventLoop runs everything
     */
    public record Environment(
            Supplier<Boolean> isLeader,
            Supplier<Long> term,
            String holder,
            Duration handoverDelay,
            Supplier<Optional<Publication>> publication,
            BackendServers servers,
            EngineClient engineClient,
            BiConsumer<String, ModelInventory> modelsListener,
            MonotonicClock clock,
            Timer timer,
            Executor eventLoop) {}

    /**
     * Creates a placement.
     *
     * @param environment what it works with
     */
    public FleetPlacement(Environment environment) {
        this.environment = environment;
        this.ordersFrom = new Deadline(environment.clock().nanoTime());
        this.accruedAtNanos = environment.clock().nanoTime();
    }

    /** Begins to plan. */
    public void start() {
        isRunning = true;
        environment.timer().schedule(INTERVAL, this::tick);
    }

    /** Ends planning. */
    public void stop() {
        isRunning = false;
    }

    private void tick() {
        if (!isRunning) {
            return;
        }
        environment.timer().schedule(INTERVAL, this::tick);
        if (environment.isLeader().get()) {
            beginTerm();
            accrueStore();
            refreshBooks();
            plan();
        }
    }

    private void beginTerm() {
        long current = environment.term().get();
        if (current == term) {
            return;
        }
        term = current;
        books.clear();
        contentsVersion = term << CONTENTS_BITS;
        nextReports.clear();
        demand.clearReports();
        storeTokens = 0;
        long nowNanos = environment.clock().nanoTime();
        accruedAtNanos = nowNanos;
        ordersFrom = Deadline.after(nowNanos, environment.handoverDelay());
        LOGGER.info(
                "event=placement-begun term={} orders_after_ms={}",
                term,
                environment.handoverDelay().toMillis());
    }

    private boolean mayOrder() {
        return environment.isLeader().get()
                && environment.term().get() == term
                && ordersFrom.hasPassed(environment.clock().nanoTime());
    }

    private void accrueStore() {
        long nowNanos = environment.clock().nanoTime();
        double rate = environment.publication().get().stream()
                .flatMap(publication -> publication.services().values().stream())
                .flatMap(service -> service.enginePool().stream())
                .mapToDouble(EnginePool::loadsPerSecond)
                .max()
                .orElse(0);
        double seconds = (nowNanos - accruedAtNanos) / NANOS_PER_SECOND;
        accruedAtNanos = nowNanos;
        storeTokens = Math.min(STORE_BURST, storeTokens + rate * USED_STORE_RATE * seconds);
    }

    private void refreshBooks() {
        long nowNanos = environment.clock().nanoTime();
        Map<BackendServerName, BackendServer> live = new HashMap<>();
        for (BackendServer server : environment.servers().current()) {
            boolean isEngine =
                    server.services().stream().anyMatch(service -> pool(service).isPresent());
            if (isEngine && server.state() == BackendServerState.ALIVE) {
                live.put(server.name(), server);
            }
        }
        books.values()
                .removeIf(book -> !live.containsKey(book.server().name())
                        || live.get(book.server().name()).incarnation()
                                != book.server().incarnation());
        live.forEach((name, server) -> books.computeIfAbsent(name, key -> new TrackedEngine(server, nowNanos))
                .applyAnnouncement(server));
        for (TrackedEngine book : List.copyOf(books.values())) {
            if (book.completeAdapterLoads(nowNanos)) {
                announce(book);
            }
            report(book, nowNanos);
        }
    }

    private Optional<EnginePool> pool(String service) {
        return environment.publication().get().flatMap(publication -> publication.enginePool(service));
    }

    private void report(TrackedEngine book, long nowNanos) {
        BackendServerName name = book.server().name();
        Deadline due = nextReports.computeIfAbsent(name, key -> new Deadline(nowNanos));
        boolean isEarly = book.isBusy() && !book.loadCompletesAt().hasPassed(nowNanos);
        if (!due.hasPassed(nowNanos) || isEarly) {
            return;
        }
        nextReports.put(name, Deadline.after(nowNanos, book.needsReport() ? BUSY_REPORTS : REST_REPORTS));
        environment.engineClient().fetchState(book.server()).thenAccept(state -> environment
                .eventLoop()
                .execute(() -> state.ifPresent(known -> {
                    if (books.get(name) == book) {
                        ModelInventory before = book.usableModels();
                        book.applyReport(known, nowNanos);
                        if (!book.usableModels().equals(before)) {
                            announce(book);
                        }
                    }
                })));
    }

    private void announce(TrackedEngine book) {
        contentsVersion++;
        environment.modelsListener().accept(book.server().name().value(), book.usableModels());
    }

    @Override
    public void recordDemand(VmName entry, List<ModelDemand> reported) {
        boolean isUrgent =
                demand.applyReport(entry, reported, environment.clock().nanoTime());
        if (isUrgent && mayOrder()) {
            plan();
        }
    }

    @Override
    public Map<String, ModelInventory> inventories() {
        Map<String, ModelInventory> contents = new HashMap<>();
        books.forEach((name, book) -> contents.put(name.value(), book.usableModels()));
        return contents;
    }

    @Override
    public long inventoryVersion() {
        return contentsVersion;
    }

    /**
     * Takes a change of the requests that wait for a model or an adapter on the coordinator itself.
     *
     * @param service the service
     * @param model the model
     * @param adapter the adapter; empty for none
     * @param change one for a request that begins to wait, minus one for one that ends
     */
    public void adjustWaiting(String service, String model, String adapter, int change) {
        FleetDemand.Target wanted = new FleetDemand.Target(service, model, adapter);
        demand.adjustWaiting(wanted, change, environment.clock().nanoTime());
        if (change > 0 && mayOrder()) {
            plan();
        }
    }

    private void plan() {
        demand.updateRates(environment.clock().nanoTime());
        if (!mayOrder()) {
            return;
        }
        environment.publication().get().ifPresent(publication -> publication
                .services()
                .values()
                .forEach(service -> service.enginePool().ifPresent(pool -> plan(service.name(), pool))));
    }

    private void plan(String service, EnginePool pool) {
        List<TrackedEngine> engines = books.values().stream()
                .filter(book -> book.server().services().contains(service))
                .toList();
        planAdapters(service, pool, engines);
        Map<String, LoadPlanner.Demand> byModel = demand.byModel(service);
        Optional<LoadPlanner.Step> step = new LoadPlanner(pool, engines, byModel).nextStep(storeTokens >= 1);
        while (step.isPresent()) {
            take(step.get(), pool);
            step = new LoadPlanner(pool, engines, byModel).nextStep(storeTokens >= 1);
        }
    }

    private void take(LoadPlanner.Step step, EnginePool pool) {
        TrackedEngine engine = step.engine();
        if (step instanceof LoadPlanner.Step.Load load) {
            Duration time = engine.loadTime(pool.models().get(load.model()));
            if (!engine.hasLocalWeights(load.model())) {
                storeTokens -= 1;
            }
            order(engine, true, load.model(), "", time);
        } else if (step instanceof LoadPlanner.Step.Unload unload) {
            engine.setSuccessorModel(unload.successor());
            order(engine, false, unload.model(), "", Duration.ZERO);
        }
    }

    private void planAdapters(String service, EnginePool pool, List<TrackedEngine> engines) {
        List<FleetDemand.Target> missing = demand.adaptersWithWaitingRequests(service).stream()
                .filter(wanted -> engines.stream().noneMatch(engine -> hasAdapter(engine, wanted)))
                .toList();
        for (FleetDemand.Target wanted : missing) {
            engines.stream()
                    .filter(engine -> engine.loadedModels().containsKey(wanted.model())
                            && engine.acceptsAdapterOrders()
                            && !engine.isBusy()
                            && engine.loadingAdapterCount() < MOST_ARRIVING_ADAPTERS)
                    .min(Comparator.comparingInt((TrackedEngine engine) ->
                                    engine.occupiedAdapterSlots() >= pool.adapterSlots() ? 1 : 0)
                            .thenComparingLong(engine -> oldestAdapterNanos(service, engine)))
                    .ifPresent(engine -> bring(service, pool, engine, wanted));
        }
    }

    private static boolean hasAdapter(TrackedEngine engine, FleetDemand.Target wanted) {
        return engine.isLoadingAdapter(wanted.model(), wanted.adapter())
                || engine.loadedModels().getOrDefault(wanted.model(), Set.of()).contains(wanted.adapter());
    }

    private long oldestAdapterNanos(String service, TrackedEngine engine) {
        return victim(service, engine).map(demand::lastRequestedAtNanos).orElse(Long.MIN_VALUE);
    }

    private Optional<FleetDemand.Target> victim(String service, TrackedEngine engine) {
        List<FleetDemand.Target> held = new ArrayList<>();
        engine.loadedModels()
                .forEach((model, adapters) ->
                        adapters.forEach(adapter -> held.add(new FleetDemand.Target(service, model, adapter))));
        return held.stream().min(demand.byLastRequestTime());
    }

    private void bring(String service, EnginePool pool, TrackedEngine engine, FleetDemand.Target wanted) {
        if (engine.occupiedAdapterSlots() < pool.adapterSlots()
                && LoadPlanner.hasRoomForAdapter(pool, engine, wanted.model())) {
            order(engine, true, wanted.model(), wanted.adapter(), Duration.ZERO);
        } else {
            victim(service, engine)
                    .ifPresent(victim -> order(engine, false, victim.model(), victim.adapter(), Duration.ZERO));
        }
    }

    private void order(TrackedEngine engine, boolean loads, String model, String adapter, Duration arrival) {
        EngineClient.EngineOrder order =
                new EngineClient.EngineOrder(loads, model, adapter, engine.orderCount(), environment.holder(), term);
        engine.beginOrder(order);
        environment.engineClient().sendOrder(engine.server(), order).thenAccept(reply -> environment
                .eventLoop()
                .execute(() -> ordered(engine, order, arrival, reply)));
    }

    private void ordered(
            TrackedEngine engine, EngineClient.EngineOrder order, Duration arrival, EngineClient.OrderReply reply) {
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
        switch (reply) {
            case ACCEPTED, HELD -> {
                engine.applyAcceptedOrder(order, reply == EngineClient.OrderReply.HELD, arrival, nowNanos);
                engine.endOrder();
                nextReports.put(engine.server().name(), Deadline.after(nowNanos, BUSY_REPORTS));
                announce(engine);
                resume();
            }
            case CONFLICT -> {
                refundStore(engine, order);
                if (engine.isBusy()) {
                    environment.timer().schedule(BUSY_RETRY, () -> {
                        engine.endOrder();
                        resume();
                    });
                } else {
                    engine.setSuccessorModel("");
                    engine.invalidateOrderCount(nowNanos);
                    engine.endOrder();
                }
            }
            default -> {
                engine.setSuccessorModel("");
                engine.invalidateOrderCount(nowNanos);
                environment.timer().schedule(UNANSWERED_PAUSE, engine::endOrder);
            }
        }
        environment.timer().schedule(Duration.ofMillis(30), this::settleAll);
    }

    // Only an order that was certainly not accepted gives its load back; one without an answer may still come.
    private void refundStore(TrackedEngine engine, EngineClient.EngineOrder order) {
        boolean isFromStore = order.isLoad() && order.adapter().isEmpty() && !engine.hasLocalWeights(order.model());
        if (isFromStore) {
            storeTokens = Math.min(STORE_BURST, storeTokens + 1);
        }
    }

    /**
     * Notes that an engine refused a request because it lacks the model or the adapter.
     *
     * @param name the engine
     * @param model the model
     * @param adapter the adapter that is absent; empty if the model is
     */
    public void markAbsent(BackendServerName name, String model, String adapter) {
        TrackedEngine book = books.get(name);
        if (book != null && book.markAbsent(model, adapter)) {
            nextReports.put(name, new Deadline(environment.clock().nanoTime()));
            announce(book);
        }
    }

    /**
     * Returns when a model or an adapter that no engine holds can be used.
     *
     * @param service the service
     * @param model the model
     * @param adapter the adapter; empty for none
     * @return empty if it is not on its way
     */
    public Optional<Deadline> estimateAvailability(String service, String model, String adapter) {
        long nowNanos = environment.clock().nanoTime();
        return books.values().stream()
                .filter(book -> book.server().services().contains(service)
                        && book.isBusy()
                        && !Deadline.after(book.loadCompletesAt().atNanos(), OVERDUE)
                                .hasPassed(nowNanos))
                .flatMap(book -> estimateAvailability(book, service, model, adapter, nowNanos).stream())
                .min(Comparator.naturalOrder());
    }

    private Optional<Deadline> estimateAvailability(
            TrackedEngine book, String service, String model, String adapter, long nowNanos) {
        Deadline notBefore =
                new Deadline(Math.max(nowNanos, book.loadCompletesAt().atNanos()));
        boolean isOnItsWay = book.loadingModel().equals(model) || isAdapterNext(book, model, adapter);
        if (isOnItsWay) {
            return Optional.of(Deadline.after(notBefore.atNanos(), NOTICE));
        }
        return pool(service)
                .filter(pool ->
                        book.successorModel().equals(model) && pool.models().containsKey(model))
                .map(pool -> Deadline.after(
                        notBefore.atNanos(),
                        NOTICE.plus(book.loadTime(pool.models().get(model)))));
    }

    // An engine takes adapters only once the model that it loads has arrived.
    private static boolean isAdapterNext(TrackedEngine book, String model, String adapter) {
        return !adapter.isEmpty() && book.loadedModels().containsKey(model);
    }

    private void resume() {
        if (mayOrder()) {
            plan();
        }
    }

    private void settleAll() {
        long nowNanos = environment.clock().nanoTime();
        for (TrackedEngine book : books.values()) {
            if (book.completeAdapterLoads(nowNanos)) {
                announce(book);
            }
        }
    }
}
