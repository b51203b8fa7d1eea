package org.borageproxy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.engine.EngineState;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.time.Deadline;

/**
 * Shows the accelerators to the planner, from the ledger and the backend servers that announce themselves. Only engines
 * whose own state was read lately are shown, and none that is leaving. Immutable; confined to the thread of the ledger.
 */
final class AcceleratorViews {

    /** The time after an answer from which a state must show the order. */
    private static final Duration GRACE = Duration.ofMillis(500);
    /** How much older the state of an engine may be that announces itself. */
    private static final int ALIVE_FRESHNESS_FACTOR = 4;
    /** The largest number of open orders about the same thing. */
    private static final int LARGEST_REPETITION = 3;

    /** The ledger. */
    private final Ledger ledger;
    /** The open orders by engine. */
    private final Map<BackendServerName, List<OpenOrder>> openByServer = new LinkedHashMap<>();

    /**
     * Creates views of the ledger as it is now.
     *
     * @param ledger the ledger
     */
    AcceleratorViews(Ledger ledger) {
        this.ledger = ledger;
        for (OpenOrder order : ledger.openOrders()) {
            openByServer
                    .computeIfAbsent(order.intent().server(), ignored -> new ArrayList<>())
                    .add(order);
        }
    }

    /**
     * Shows the accelerators that can be used.
     *
     * @param servers the backend servers
     * @param readFreshness the age up to which the state of an engine counts
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the accelerators
     */
    List<AcceleratorView> usableAccelerators(List<BackendServer> servers, Duration readFreshness, long nowNanos) {
        List<AcceleratorView> views = new ArrayList<>();
        for (BackendServer server : servers) {
            boolean usable = server.kind() == BackendServerKind.ENGINE && server.state() != BackendServerState.LEAVING;
            Duration kept = server.state() == BackendServerState.ALIVE
                    ? readFreshness.multipliedBy(ALIVE_FRESHNESS_FACTOR)
                    : readFreshness;
            ledger.lastState(server.name())
                    .filter(read -> usable && read.state().incarnation() >= server.incarnation())
                    .filter(read ->
                            !Deadline.after(read.requestedAtNanos(), kept).hasPassed(nowNanos))
                    .ifPresent(read -> {
                        boolean fresh = !Deadline.after(read.requestedAtNanos(), readFreshness)
                                .hasPassed(nowNanos);
                        addViews(server, read, fresh, views);
                    });
        }
        return views;
    }

    /**
     * Adds the accelerators of an engine. One that is alive and answers slowly keeps its copies, and gets no orders.
     *
     * @param server the engine
     * @param read its state
     * @param fresh whether the state was read lately
     * @param views where to add them
     */
    private void addViews(BackendServer server, Ledger.StateRead read, boolean fresh, List<AcceleratorView> views) {
        double power = server.load().tokensPerSecond() * server.load().batchLimit();
        for (EngineState.AcceleratorMemory accelerator : read.state().accelerators()) {
            long usedBytes = ledger.maxUsedBytes(server.name(), accelerator.name());
            List<CopyView> copies = copies(server.name(), accelerator.name(), read);
            views.add(new AcceleratorView(
                    server.name(),
                    server.zone(),
                    accelerator.name(),
                    fresh ? accelerator.memoryBytes() - usedBytes : 0,
                    power,
                    fresh
                            ? copies
                            : copies.stream()
                                    .map(AcceleratorViews::withoutOrders)
                                    .toList()));
        }
    }

    /**
     * Shows a copy so that no order about it is planned.
     *
     * @param copy the copy
     * @return the copy with an open order if it serves
     */
    private static CopyView withoutOrders(CopyView copy) {
        CopyView.Status status =
                switch (copy.status()) {
                    case SERVING, SERVING_WITH_OPEN_ORDER -> CopyView.Status.SERVING_WITH_OPEN_ORDER;
                    default -> CopyView.Status.BLOCKED;
                };
        return new CopyView(copy.modelVersion(), status, copy.adapters(), copy.busyAdapters());
    }

    /**
     * Shows the copies on an accelerator.
     *
     * @param server the engine
     * @param accelerator the accelerator's name
     * @param read the engine's state
     * @return the copies, those ordered included
     */
    private List<CopyView> copies(BackendServerName server, String accelerator, Ledger.StateRead read) {
        Map<ModelVersionId, List<OpenOrder>> orders = new LinkedHashMap<>();
        for (OpenOrder order : openByServer.getOrDefault(server, List.of())) {
            if (order.intent().accelerator().equals(accelerator)) {
                ModelVersionId unit = new ModelVersionId(
                        order.intent().model(), order.intent().version());
                orders.computeIfAbsent(unit, ignored -> new ArrayList<>()).add(order);
            }
        }
        List<CopyView> copies = new ArrayList<>();
        for (EngineState.ModelInMemory model : read.state().models()) {
            if (model.accelerator().equals(accelerator)) {
                ModelVersionId unit = new ModelVersionId(model.model(), model.version());
                List<OpenOrder> about = Optional.ofNullable(orders.remove(unit)).orElse(List.of());
                Set<String> busy = busyAdapters(about, read);
                copies.add(new CopyView(unit, status(model, about), model.adapters(), busy));
            }
        }
        orders.forEach((unit, about) -> orderedStatus(about, read)
                .ifPresent(status -> copies.add(new CopyView(unit, status, Set.of(), Set.of()))));
        return copies;
    }

    /**
     * Returns the status of a copy that is in memory.
     *
     * @param model the copy
     * @param about the open orders about it and its adapters
     * @return the status
     */
    private static CopyView.Status status(EngineState.ModelInMemory model, List<OpenOrder> about) {
        if (has(about, Intent.Action.UNLOAD)) {
            return CopyView.Status.LEAVING;
        }
        if (!model.ready()) {
            return CopyView.Status.LOADING;
        }
        boolean open = has(about, Intent.Action.LOAD);
        return open ? CopyView.Status.SERVING_WITH_OPEN_ORDER : CopyView.Status.SERVING;
    }

    /**
     * Returns the status of a copy that is not in memory.
     *
     * @param about the open orders about it
     * @param read the engine's state
     * @return the status, or empty if no load is open
     */
    private static Optional<CopyView.Status> orderedStatus(List<OpenOrder> about, Ledger.StateRead read) {
        List<OpenOrder> loads = about.stream()
                .filter(order -> order.intent().action() == Intent.Action.LOAD)
                .toList();
        if (has(about, Intent.Action.UNLOAD)) {
            return Optional.of(CopyView.Status.BLOCKED);
        }
        if (loads.isEmpty()) {
            return Optional.empty();
        }
        if (loads.stream().anyMatch(order -> mayBeUnderWay(order, read))) {
            return Optional.of(CopyView.Status.LOADING);
        }
        boolean repeatable = loads.size() < LARGEST_REPETITION;
        return Optional.of(repeatable ? CopyView.Status.UNCERTAIN : CopyView.Status.BLOCKED);
    }

    /**
     * Returns the adapters about which no order should be given now.
     *
     * @param about the open orders about a copy and its adapters
     * @param read the engine's state
     * @return the names of the adapters
     */
    private static Set<String> busyAdapters(List<OpenOrder> about, Ledger.StateRead read) {
        Set<String> busy = new HashSet<>();
        for (OpenOrder order : about) {
            String adapter = order.intent().adapter();
            long repetitions = about.stream()
                    .filter(other -> other.intent().adapter().equals(adapter))
                    .count();
            boolean unload = order.intent().action() == Intent.Action.UNLOAD_ADAPTER;
            if (!adapter.isEmpty() && (unload || repetitions >= LARGEST_REPETITION || mayBeUnderWay(order, read))) {
                busy.add(adapter);
            }
        }
        return busy;
    }

    /**
     * Tells whether an order may soon show its effect.
     *
     * @param order the order
     * @param read the engine's state
     * @return {@code false} if the state should show the order but doesn't
     */
    private static boolean mayBeUnderWay(OpenOrder order, Ledger.StateRead read) {
        return order.phase() == OpenOrder.Phase.RECORDED
                || read.state().pendingOrders().contains(order.intent().number())
                || !Deadline.after(order.sinceNanos(), GRACE).hasPassed(read.requestedAtNanos());
    }

    /**
     * Tells whether an action is among open orders.
     *
     * @param orders the orders
     * @param action the action
     * @return {@code true} if it is
     */
    private static boolean has(List<OpenOrder> orders, Intent.Action action) {
        return orders.stream().anyMatch(order -> order.intent().action() == action);
    }
}
