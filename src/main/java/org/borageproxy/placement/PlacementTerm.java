package org.borageproxy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.time.Deadline;

/**
 * The work of the placement owner in one epoch. Nothing is planned before the open intents of earlier owners are known
 * and each engine was asked for its state, nor while most engines that announce themselves cannot be read. Confined to
 * the owner's executor.
 */
final class PlacementTerm implements OrderDispatcher.Listener {

    /** The largest number of orders that one engine gets from one plan. */
    private static final int LARGEST_CHAIN = 32;
    /** How much longer than a plan took the time to the next plan is. */
    private static final int PAUSE_FACTOR = 20;
    /** The longest time between two plans. */
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    /** What the owner works with. */
    private final PlacementDependencies parts;
    /** Runs one task at a time. */
    private final Executor executor;
    /** The epoch of the placement duty. */
    private final long epoch;
    /** What may be in memory. */
    private final Ledger ledger;
    /** Reads the engines. */
    private final EngineReader reader;
    /** Gives the orders. */
    private final OrderDispatcher dispatcher;
    /** Limits the loads of models. */
    private final LoadBudget budget;
    /** Whether the open intents of the store are in the ledger. */
    private boolean ledgerComplete;
    /** Whether the store is being read. */
    private boolean readingStore;
    /** When the next plan is made. */
    private Deadline planAt;

    /**
     * Creates a term that knows nothing.
     *
     * @param parts what the owner works with
     * @param executor runs one task at a time
     * @param epoch the epoch of the placement duty
     * @param holdsLease asked by any thread right before an order is sent
     */
    PlacementTerm(PlacementDependencies parts, Executor executor, long epoch, BooleanSupplier holdsLease) {
        this.parts = parts;
        this.executor = executor;
        this.epoch = epoch;
        ledger = new Ledger(parts.settings().maxOrderDelay());
        dispatcher = new OrderDispatcher(parts, executor, epoch, ledger, holdsLease, this::isSafe, this);
        reader = new EngineReader(parts, executor, ledger, dispatcher::addResolved);
        planAt = new Deadline(parts.clock().nanoTime());
        budget = new LoadBudget(
                parts.settings().modelLoadsPerSecond(), parts.clock().nanoTime());
    }

    /**
     * Returns the epoch.
     *
     * @return the epoch of the placement duty
     */
    long epoch() {
        return epoch;
    }

    /**
     * Does what is due now.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    void run(long nowNanos) {
        List<BackendServer> engines = engines();
        reader.readDue(engines, nowNanos);
        if (!ledgerComplete) {
            readStore();
            return;
        }
        dispatcher.recordResolutions();
        budget.refill(nowNanos);
        if (planAt.hasPassed(nowNanos)) {
            plan(engines, nowNanos);
            long endNanos = parts.clock().nanoTime();
            long pauseNanos = Math.min(LONGEST_PAUSE.toNanos(), PAUSE_FACTOR * (endNanos - nowNanos));
            planAt = new Deadline(endNanos + pauseNanos);
        }
    }

    /** Reads the open intents of earlier owners, and of this one if it is unknown whether one was recorded. */
    private void readStore() {
        if (readingStore) {
            return;
        }
        readingStore = true;
        parts.ledgerStore()
                .readOpen()
                .whenCompleteAsync(
                        (intents, failure) -> {
                            readingStore = false;
                            if (intents != null) {
                                inherit(intents);
                                ledgerComplete = true;
                            }
                        },
                        executor);
    }

    /**
     * Adds the intents that this term does not know.
     *
     * @param intents the open intents of the store
     */
    private void inherit(List<Intent> intents) {
        List<Long> known = ledger.openOrders().stream()
                .map(order -> order.intent().number())
                .toList();
        List<Intent> unknown = intents.stream()
                .filter(intent -> !known.contains(intent.number()) && !dispatcher.isResolutionPending(intent.number()))
                .toList();
        ledger.inherit(unknown, parts.clock().nanoTime(), parts.settings().leaseDuration());
    }

    /**
     * Plans and gives the orders to engines that are not being given orders.
     *
     * @param engines the engines
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    private void plan(List<BackendServer> engines, long nowNanos) {
        List<AcceleratorView> views = views(nowNanos);
        if (!mayPlan(engines, views)) {
            return;
        }
        PlannerInput input = new PlannerInput(
                parts.configuration().get(), views, parts.demand().get(), modelLoads(views), adapterLoads(views));
        Map<BackendServerName, BackendServer> byName =
                engines.stream().collect(Collectors.toMap(BackendServer::name, Function.identity()));
        Map<BackendServerName, List<PlannedOrder>> orders = new LinkedHashMap<>();
        for (PlannedOrder order : Planner.plan(input)) {
            orders.computeIfAbsent(order.server(), ignored -> new ArrayList<>()).add(order);
        }
        orders.forEach((name, list) -> give(byName.get(name), list, nowNanos));
    }

    /**
     * Gives an engine its orders unless it is being given orders already.
     *
     * @param engine the engine
     * @param orders the orders
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    private void give(BackendServer engine, List<PlannedOrder> orders, long nowNanos) {
        if (dispatcher.isDispatching(engine.name())) {
            return;
        }
        List<PlannedOrder> chain = orders.subList(0, Math.min(orders.size(), LARGEST_CHAIN));
        chain.stream().filter(order -> order.action() == Intent.Action.LOAD).forEach(order -> budget.consume());
        dispatcher.dispatch(engine, chain, nowNanos);
    }

    /**
     * Tells whether enough is known to plan.
     *
     * @param engines the engines
     * @param views the accelerators that can be used
     * @return {@code true} if each engine was asked for its state and most of those that are alive answer
     */
    private boolean mayPlan(List<BackendServer> engines, List<AcceleratorView> views) {
        boolean allTried = engines.stream().allMatch(engine -> reader.hasReadAttempt(engine.name()));
        long alive = engines.stream()
                .filter(engine -> engine.state() == BackendServerState.ALIVE)
                .count();
        long visible = views.stream().map(AcceleratorView::server).distinct().count();
        return allTried && visible > 0 && 2 * visible >= alive;
    }

    /**
     * Returns how many loads of models may be ordered now.
     *
     * @param views the accelerators that can be used
     * @return the number of loads
     */
    private int modelLoads(List<AcceleratorView> views) {
        long inFlight = views.stream()
                .flatMap(view -> view.copies().stream())
                .filter(copy -> copy.status() == CopyView.Status.LOADING)
                .count();
        long parallel = parts.settings().parallelModelLoads() - inFlight;
        return (int) Math.max(0, Math.min(parallel, budget.available()));
    }

    /**
     * Returns how many loads of adapters may be ordered now.
     *
     * @param views the accelerators that can be used
     * @return the number of loads
     */
    private int adapterLoads(List<AcceleratorView> views) {
        long inFlight = views.stream()
                .flatMap(view -> view.copies().stream())
                .mapToLong(copy -> copy.busyAdapters().size())
                .sum();
        return (int) Math.max(0, parts.settings().parallelAdapterLoads() - inFlight);
    }

    /**
     * Tells whether an order may still be given as things stand now: an unload only if another copy serves, or if the
     * configuration names the model version no more.
     *
     * @param intent the order's intent
     * @return {@code true} if it may
     */
    private boolean isSafe(Intent intent) {
        if (intent.action() != Intent.Action.UNLOAD) {
            return true;
        }
        ModelVersionId unit = new ModelVersionId(intent.model(), intent.version());
        if (new DesiredModels(parts.configuration().get(), DemandRates.NONE).find(unit) == null) {
            return true;
        }
        return views(parts.clock().nanoTime()).stream()
                .flatMap(view -> view.copies().stream())
                .filter(copy -> copy.modelVersion().equals(unit))
                .anyMatch(copy -> copy.status() == CopyView.Status.SERVING
                        || copy.status() == CopyView.Status.SERVING_WITH_OPEN_ORDER);
    }

    /**
     * Shows the accelerators that can be used now.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the accelerators
     */
    private List<AcceleratorView> views(long nowNanos) {
        List<BackendServer> engines = engines();
        List<BackendServer> usable = engines.stream()
                .filter(engine -> engine.state() == BackendServerState.ALIVE || !reader.isFailing(engine.name()))
                .toList();
        Duration freshness = parts.settings().maxStateAge().plus(EngineReader.readInterval(usable.size()));
        return new AcceleratorViews(ledger).usableAccelerators(usable, freshness, nowNanos);
    }

    /**
     * Returns the engines that are not leaving.
     *
     * @return the engines
     */
    private List<BackendServer> engines() {
        return parts.servers().current().stream()
                .filter(server -> server.kind() == BackendServerKind.ENGINE)
                .filter(server -> server.state() != BackendServerState.LEAVING)
                .toList();
    }

    @Override
    public void dispatched(BackendServerName engine) {
        reader.readAtNextTick(engine);
    }

    @Override
    public void recordOutcomeUnknown() {
        ledgerComplete = false;
    }
}
