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
import org.borageproxy.coordination.HeldModels;
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
    private final Map<BackendServerName, EngineBook> books = new LinkedHashMap<>();
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
     * @param leads tells whether this VM leads now
     * @param term returns the term
     * @param holder the name under which orders are given
     * @param turn the time that a new leader leaves to the one before
     * @param publication the publication in force
     * @param servers the backend servers
     * @param engines sends orders
     * @param notices tells entries what an engine holds
     * @param clock the clock
     * @param timer runs tasks later
     * @param eventLoop runs everything
     */
    public record Environment(
            Supplier<Boolean> leads,
            Supplier<Long> term,
            String holder,
            Duration turn,
            Supplier<Optional<Publication>> publication,
            BackendServers servers,
            EngineClient engines,
            BiConsumer<String, HeldModels> notices,
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
        if (environment.leads().get()) {
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
        demand.beginTerm();
        storeTokens = 0;
        long nowNanos = environment.clock().nanoTime();
        accruedAtNanos = nowNanos;
        ordersFrom = Deadline.after(nowNanos, environment.turn());
        LOGGER.info(
                "event=placement-begun term={} orders_after_ms={}",
                term,
                environment.turn().toMillis());
    }

    private boolean mayOrder() {
        return environment.leads().get()
                && environment.term().get() == term
                && ordersFrom.hasPassed(environment.clock().nanoTime());
    }

    private void accrueStore() {
        long nowNanos = environment.clock().nanoTime();
        double rate = environment.publication().get().stream()
                .flatMap(publication -> publication.services().values().stream())
                .flatMap(service -> service.engine().stream())
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
        live.forEach((name, server) -> books.computeIfAbsent(name, key -> new EngineBook(server, nowNanos))
                .announced(server));
        for (EngineBook book : List.copyOf(books.values())) {
            if (book.settle(nowNanos)) {
                announce(book);
            }
            report(book, nowNanos);
        }
    }

    private Optional<EnginePool> pool(String service) {
        return environment.publication().get().flatMap(publication -> publication.engines(service));
    }

    private void report(EngineBook book, long nowNanos) {
        BackendServerName name = book.server().name();
        Deadline due = nextReports.computeIfAbsent(name, key -> new Deadline(nowNanos));
        boolean isEarly = book.isBusy() && !book.arrivesAt().hasPassed(nowNanos);
        if (!due.hasPassed(nowNanos) || isEarly) {
            return;
        }
        nextReports.put(name, Deadline.after(nowNanos, book.needsReport() ? BUSY_REPORTS : REST_REPORTS));
        environment.engines().state(book.server()).thenAccept(state -> environment
                .eventLoop()
                .execute(() -> state.ifPresent(known -> {
                    if (books.get(name) == book) {
                        HeldModels before = book.usable();
                        book.reported(known, nowNanos);
                        if (!book.usable().equals(before)) {
                            announce(book);
                        }
                    }
                })));
    }

    private void announce(EngineBook book) {
        contentsVersion++;
        environment.notices().accept(book.server().name().value(), book.usable());
    }

    @Override
    public void demanded(VmName entry, List<ModelDemand> reported) {
        boolean isUrgent = demand.reported(entry, reported, environment.clock().nanoTime());
        if (isUrgent && mayOrder()) {
            plan();
        }
    }

    @Override
    public Map<String, HeldModels> contents() {
        Map<String, HeldModels> contents = new HashMap<>();
        books.forEach((name, book) -> contents.put(name.value(), book.usable()));
        return contents;
    }

    @Override
    public long contentsVersion() {
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
    public void waits(String service, String model, String adapter, int change) {
        FleetDemand.Wanted wanted = new FleetDemand.Wanted(service, model, adapter);
        demand.waits(wanted, change, environment.clock().nanoTime());
        if (change > 0 && mayOrder()) {
            plan();
        }
    }

    private void plan() {
        demand.measure(environment.clock().nanoTime());
        if (!mayOrder()) {
            return;
        }
        environment.publication().get().ifPresent(publication -> publication
                .services()
                .values()
                .forEach(service -> service.engine().ifPresent(pool -> plan(service.name(), pool))));
    }

    private void plan(String service, EnginePool pool) {
        List<EngineBook> engines = books.values().stream()
                .filter(book -> book.server().services().contains(service))
                .toList();
        planAdapters(service, pool, engines);
        Map<String, CopyPlan.Demand> byModel = demand.byModel(service);
        Optional<CopyPlan.Step> step = new CopyPlan(pool, engines, byModel).next(storeTokens >= 1);
        while (step.isPresent()) {
            take(step.get(), pool);
            step = new CopyPlan(pool, engines, byModel).next(storeTokens >= 1);
        }
    }

    private void take(CopyPlan.Step step, EnginePool pool) {
        EngineBook engine = step.engine();
        if (step instanceof CopyPlan.Step.Load load) {
            Duration time = engine.loadTime(pool.models().get(load.model()));
            if (!engine.hasCopy(load.model())) {
                storeTokens -= 1;
            }
            order(engine, true, load.model(), "", time);
        } else if (step instanceof CopyPlan.Step.Unload unload) {
            engine.awaits(unload.successor());
            order(engine, false, unload.model(), "", Duration.ZERO);
        }
    }

    private void planAdapters(String service, EnginePool pool, List<EngineBook> engines) {
        List<FleetDemand.Wanted> missing = demand.awaitedAdapters(service).stream()
                .filter(wanted -> engines.stream().noneMatch(engine -> hasAdapter(engine, wanted)))
                .toList();
        for (FleetDemand.Wanted wanted : missing) {
            engines.stream()
                    .filter(engine -> engine.held().containsKey(wanted.model())
                            && engine.takesAdapters()
                            && !engine.isBusy()
                            && engine.arrivingAdapterCount() < MOST_ARRIVING_ADAPTERS)
                    .min(Comparator.comparingInt(
                                    (EngineBook engine) -> engine.adapterCount() >= pool.adapterSlots() ? 1 : 0)
                            .thenComparingLong(engine -> oldestAdapterNanos(service, engine)))
                    .ifPresent(engine -> bring(service, pool, engine, wanted));
        }
    }

    private static boolean hasAdapter(EngineBook engine, FleetDemand.Wanted wanted) {
        return engine.isArriving(wanted.model(), wanted.adapter())
                || engine.held().getOrDefault(wanted.model(), Set.of()).contains(wanted.adapter());
    }

    private long oldestAdapterNanos(String service, EngineBook engine) {
        return victim(service, engine).map(demand::askedAtNanos).orElse(Long.MIN_VALUE);
    }

    private Optional<FleetDemand.Wanted> victim(String service, EngineBook engine) {
        List<FleetDemand.Wanted> held = new ArrayList<>();
        engine.held()
                .forEach((model, adapters) ->
                        adapters.forEach(adapter -> held.add(new FleetDemand.Wanted(service, model, adapter))));
        return held.stream().min(demand.byLastAsked());
    }

    private void bring(String service, EnginePool pool, EngineBook engine, FleetDemand.Wanted wanted) {
        if (engine.adapterCount() < pool.adapterSlots() && CopyPlan.hasRoomForAdapter(pool, engine, wanted.model())) {
            order(engine, true, wanted.model(), wanted.adapter(), Duration.ZERO);
        } else {
            victim(service, engine)
                    .ifPresent(victim -> order(engine, false, victim.model(), victim.adapter(), Duration.ZERO));
        }
    }

    private void order(EngineBook engine, boolean loads, String model, String adapter, Duration arrival) {
        EngineClient.EngineOrder order =
                new EngineClient.EngineOrder(loads, model, adapter, engine.orders(), environment.holder(), term);
        engine.ordering(order);
        environment.engines().order(engine.server(), order).thenAccept(reply -> environment
                .eventLoop()
                .execute(() -> ordered(engine, order, arrival, reply)));
    }

    private void ordered(
            EngineBook engine, EngineClient.EngineOrder order, Duration arrival, EngineClient.Reply reply) {
        long nowNanos = environment.clock().nanoTime();
        LOGGER.info(
                "event=order server={} loads={} model={} adapter={} expected_orders={} fence={} reply={}",
                engine.server().name(),
                order.loads(),
                order.model(),
                order.adapter(),
                order.expectedOrders(),
                order.fence(),
                reply);
        switch (reply) {
            case ACCEPTED, HELD -> {
                engine.accepted(order, reply == EngineClient.Reply.HELD, arrival, nowNanos);
                engine.ordered();
                nextReports.put(engine.server().name(), Deadline.after(nowNanos, BUSY_REPORTS));
                announce(engine);
                resume();
            }
            case CONFLICT -> {
                refundStore(engine, order);
                if (engine.isBusy()) {
                    environment.timer().schedule(BUSY_RETRY, () -> {
                        engine.ordered();
                        resume();
                    });
                } else {
                    engine.awaits("");
                    engine.conflicted(nowNanos);
                    engine.ordered();
                }
            }
            default -> {
                engine.awaits("");
                engine.conflicted(nowNanos);
                environment.timer().schedule(UNANSWERED_PAUSE, engine::ordered);
            }
        }
        environment.timer().schedule(Duration.ofMillis(30), this::settleAll);
    }

    // Only an order that was certainly not accepted gives its load back; one without an answer may still come.
    private void refundStore(EngineBook engine, EngineClient.EngineOrder order) {
        boolean isFromStore = order.loads() && order.adapter().isEmpty() && !engine.hasCopy(order.model());
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
    public void absent(BackendServerName name, String model, String adapter) {
        EngineBook book = books.get(name);
        if (book != null && book.absent(model, adapter)) {
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
    public Optional<Deadline> arrival(String service, String model, String adapter) {
        long nowNanos = environment.clock().nanoTime();
        return books.values().stream()
                .filter(book -> book.server().services().contains(service)
                        && book.isBusy()
                        && !Deadline.after(book.arrivesAt().atNanos(), OVERDUE).hasPassed(nowNanos))
                .flatMap(book -> arrival(book, service, model, adapter, nowNanos).stream())
                .min(Comparator.naturalOrder());
    }

    private Optional<Deadline> arrival(EngineBook book, String service, String model, String adapter, long nowNanos) {
        Deadline notBefore = new Deadline(Math.max(nowNanos, book.arrivesAt().atNanos()));
        boolean isOnItsWay = book.arrivingModel().equals(model) || isAdapterNext(book, model, adapter);
        if (isOnItsWay) {
            return Optional.of(Deadline.after(notBefore.atNanos(), NOTICE));
        }
        return pool(service)
                .filter(pool ->
                        book.awaitedModel().equals(model) && pool.models().containsKey(model))
                .map(pool -> Deadline.after(
                        notBefore.atNanos(),
                        NOTICE.plus(book.loadTime(pool.models().get(model)))));
    }

    // An engine takes adapters only once the model that it loads has arrived.
    private static boolean isAdapterNext(EngineBook book, String model, String adapter) {
        return !adapter.isEmpty() && book.held().containsKey(model);
    }

    private void resume() {
        if (mayOrder()) {
            plan();
        }
    }

    private void settleAll() {
        long nowNanos = environment.clock().nanoTime();
        for (EngineBook book : books.values()) {
            if (book.settle(nowNanos)) {
                announce(book);
            }
        }
    }
}
