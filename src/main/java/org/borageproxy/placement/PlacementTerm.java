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
 * The work of the placement owner in one epoch. Planning starts after the open intents of earlier owners have been read
 * and a read of each engine has been attempted, and pauses while fewer than half of the alive engines can be read.
 * Confined to the executor of the owner.
 */
final class PlacementTerm implements OrderDispatcher.Listener {

    /** Maximum number of orders that an engine gets from one plan. */
    private static final int MAX_ORDERS_PER_ENGINE = 32;
    /** The pause after a plan is this multiple of its duration. */
    private static final int PLAN_PAUSE_FACTOR = 20;

    private static final Duration MAX_PLAN_PAUSE = Duration.ofSeconds(1);

    private final PlacementDependencies dependencies;
    private final Executor executor;
    private final long epoch;
    private final Ledger ledger;
    private final EngineReader reader;
    private final OrderDispatcher dispatcher;
    private final LoadBudget budget;
    /** Whether the ledger includes all open intents of the store. */
    private boolean isLedgerComplete;

    private boolean isReadingStore;
    private Deadline planAt;

    /**
     * Creates a term without any state.
     *
     * @param dependencies the collaborators of the owner
     * @param executor runs tasks one at a time
     * @param epoch the epoch of the placement duty
     * @param holdsLease returns whether this VM still holds the placement duty; called by any thread
     */
    PlacementTerm(PlacementDependencies dependencies, Executor executor, long epoch, BooleanSupplier holdsLease) {
        this.dependencies = dependencies;
        this.executor = executor;
        this.epoch = epoch;
        ledger = new Ledger(dependencies.settings().maxOrderDelay());
        dispatcher = new OrderDispatcher(dependencies, executor, epoch, ledger, holdsLease, this::isStillSafe, this);
        reader = new EngineReader(dependencies, executor, ledger, dispatcher::addResolved);
        planAt = new Deadline(dependencies.clock().nanoTime());
        budget = new LoadBudget(
                dependencies.settings().modelLoadsPerSecond(),
                dependencies.clock().nanoTime());
    }

    /**
     * Returns the epoch of the placement duty.
     *
     * @return the epoch
     */
    long epoch() {
        return epoch;
    }

    /**
     * Reads engines, records resolutions and plans, as far as they are due.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    void run(long nowNanos) {
        List<BackendServer> engines = engines();
        reader.readDue(engines, nowNanos);
        if (!isLedgerComplete) {
            readStore();
            return;
        }
        dispatcher.recordResolutions();
        budget.refill(nowNanos);
        if (planAt.hasPassed(nowNanos)) {
            plan(engines, nowNanos);
            long endNanos = dependencies.clock().nanoTime();
            long pauseNanos = Math.min(MAX_PLAN_PAUSE.toNanos(), PLAN_PAUSE_FACTOR * (endNanos - nowNanos));
            planAt = new Deadline(endNanos + pauseNanos);
        }
    }

    /** Also repeated within the term if it is unknown whether an intent has been recorded. */
    private void readStore() {
        if (isReadingStore) {
            return;
        }
        isReadingStore = true;
        dependencies
                .ledgerStore()
                .readOpen()
                .whenCompleteAsync(
                        (intents, failure) -> {
                            isReadingStore = false;
                            if (intents != null) {
                                inherit(intents);
                                isLedgerComplete = true;
                            }
                        },
                        executor);
    }

    private void inherit(List<Intent> intents) {
        List<Long> knownNumbers = ledger.openOrders().stream()
                .map(order -> order.intent().number())
                .toList();
        List<Intent> newIntents = intents.stream()
                .filter(intent ->
                        !knownNumbers.contains(intent.number()) && !dispatcher.isResolutionPending(intent.number()))
                .toList();
        ledger.inherit(
                newIntents,
                dependencies.clock().nanoTime(),
                dependencies.settings().leaseDuration());
    }

    private void plan(List<BackendServer> engines, long nowNanos) {
        List<AcceleratorView> views = views(nowNanos);
        if (!mayPlan(engines, views)) {
            return;
        }
        PlannerInput input = new PlannerInput(
                dependencies.configuration().get(),
                views,
                dependencies.demand().get(),
                availableModelLoads(views),
                availableAdapterLoads(views));
        Map<BackendServerName, BackendServer> byName =
                engines.stream().collect(Collectors.toMap(BackendServer::name, Function.identity()));
        Map<BackendServerName, List<PlannedOrder>> orders = new LinkedHashMap<>();
        for (PlannedOrder order : Planner.plan(input)) {
            orders.computeIfAbsent(order.server(), ignored -> new ArrayList<>()).add(order);
        }
        orders.forEach((name, engineOrders) -> dispatch(byName.get(name), engineOrders, nowNanos));
    }

    private void dispatch(BackendServer engine, List<PlannedOrder> orders, long nowNanos) {
        if (dispatcher.isDispatching(engine.name())) {
            return;
        }
        List<PlannedOrder> batch = orders.subList(0, Math.min(orders.size(), MAX_ORDERS_PER_ENGINE));
        batch.stream().filter(order -> order.action() == Intent.Action.LOAD).forEach(order -> budget.consume());
        dispatcher.dispatch(engine, batch, nowNanos);
    }

    /** Requires a completed read attempt of each engine, and that at least half of the alive engines can be read. */
    private boolean mayPlan(List<BackendServer> engines, List<AcceleratorView> views) {
        boolean haveAllReadAttempts = engines.stream().allMatch(engine -> reader.hasReadAttempt(engine.name()));
        long aliveEngines = engines.stream()
                .filter(engine -> engine.state() == BackendServerState.ALIVE)
                .count();
        long readableEngines =
                views.stream().map(AcceleratorView::server).distinct().count();
        return haveAllReadAttempts && readableEngines > 0 && 2 * readableEngines >= aliveEngines;
    }

    private int availableModelLoads(List<AcceleratorView> views) {
        long loading = views.stream()
                .flatMap(view -> view.copies().stream())
                .filter(copy -> copy.status() == CopyView.Status.LOADING)
                .count();
        long freeLoads = dependencies.settings().parallelModelLoads() - loading;
        return (int) Math.max(0, Math.min(freeLoads, budget.availableLoads()));
    }

    private int availableAdapterLoads(List<AcceleratorView> views) {
        long loading = views.stream()
                .flatMap(view -> view.copies().stream())
                .mapToLong(copy -> copy.busyAdapters().size())
                .sum();
        return (int) Math.max(0, dependencies.settings().parallelAdapterLoads() - loading);
    }

    /**
     * An unload is safe if another copy serves or if the configuration no longer contains the model version. The copy
     * itself does not count as serving, since its order is open.
     */
    private boolean isStillSafe(Intent intent) {
        if (intent.action() != Intent.Action.UNLOAD) {
            return true;
        }
        ModelVersionId version = new ModelVersionId(intent.model(), intent.version());
        if (new DesiredModels(dependencies.configuration().get(), DemandRates.NONE).find(version) == null) {
            return true;
        }
        return views(dependencies.clock().nanoTime()).stream()
                .flatMap(view -> view.copies().stream())
                .filter(copy -> copy.modelVersion().equals(version))
                .anyMatch(copy -> copy.status() == CopyView.Status.SERVING
                        || copy.status() == CopyView.Status.SERVING_WITH_OPEN_ORDER);
    }

    private List<AcceleratorView> views(long nowNanos) {
        List<BackendServer> engines = engines();
        List<BackendServer> readable = engines.stream()
                .filter(engine -> engine.state() == BackendServerState.ALIVE || !reader.isFailing(engine.name()))
                .toList();
        Duration maxAge = dependencies.settings().maxStateAge().plus(EngineReader.readInterval(readable.size()));
        return new AcceleratorViews(ledger).usableAccelerators(readable, maxAge, nowNanos);
    }

    private List<BackendServer> engines() {
        return dependencies.servers().current().stream()
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
        isLedgerComplete = false;
    }
}
