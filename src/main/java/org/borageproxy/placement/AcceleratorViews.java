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
 * Builds the views of accelerators for the planner, from the ledger and the announced backend servers. A view exists
 * only for engines whose state has been read recently and that are not leaving. Immutable; confined to the thread of
 * the ledger.
 */
final class AcceleratorViews {

    /** A state requested later than this after the answer to an order must show its effect. */
    private static final Duration EFFECT_DELAY = Duration.ofMillis(500);
    /** The state of an engine that announces itself may be older by this factor. */
    private static final int ALIVE_AGE_FACTOR = 4;
    /** Maximum number of open orders for the same model version or adapter on an accelerator. */
    private static final int MAX_REPETITIONS = 3;

    private final Ledger ledger;
    private final Map<BackendServerName, List<OpenOrder>> openOrdersByServer = new LinkedHashMap<>();

    /**
     * Indexes the open orders of the ledger.
     *
     * @param ledger the ledger
     */
    AcceleratorViews(Ledger ledger) {
        this.ledger = ledger;
        for (OpenOrder order : ledger.openOrders()) {
            openOrdersByServer
                    .computeIfAbsent(order.intent().server(), ignored -> new ArrayList<>())
                    .add(order);
        }
    }

    /**
     * Returns the accelerators of the engines whose states are recent enough. Engines that are alive but slow to answer
     * are included without room for new orders.
     *
     * @param servers the backend servers
     * @param maxStateAge the maximum age of the state of an engine that may get orders
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return the accelerators
     */
    List<AcceleratorView> usableAccelerators(List<BackendServer> servers, Duration maxStateAge, long nowNanos) {
        List<AcceleratorView> views = new ArrayList<>();
        for (BackendServer server : servers) {
            boolean isUsableEngine =
                    server.kind() == BackendServerKind.ENGINE && server.state() != BackendServerState.LEAVING;
            Duration maxAge = server.state() == BackendServerState.ALIVE
                    ? maxStateAge.multipliedBy(ALIVE_AGE_FACTOR)
                    : maxStateAge;
            ledger.lastState(server.name())
                    .filter(read -> isUsableEngine && read.state().incarnation() >= server.incarnation())
                    .filter(read ->
                            !Deadline.after(read.requestedAtNanos(), maxAge).hasPassed(nowNanos))
                    .ifPresent(read -> {
                        boolean isFresh = !Deadline.after(read.requestedAtNanos(), maxStateAge)
                                .hasPassed(nowNanos);
                        addViews(server, read, isFresh, views);
                    });
        }
        return views;
    }

    /** An engine that is alive but whose state is outdated keeps its copies in view and gets no orders. */
    private void addViews(BackendServer server, Ledger.StateRead read, boolean isFresh, List<AcceleratorView> views) {
        double capacity = server.load().tokensPerSecond() * server.load().batchLimit();
        for (EngineState.AcceleratorMemory accelerator : read.state().accelerators()) {
            long usedBytes = ledger.maxUsedBytes(server.name(), accelerator.name());
            List<CopyView> copies = copies(server.name(), accelerator.name(), read);
            views.add(new AcceleratorView(
                    server.name(),
                    server.zone(),
                    accelerator.name(),
                    isFresh ? accelerator.memoryBytes() - usedBytes : 0,
                    capacity,
                    isFresh
                            ? copies
                            : copies.stream()
                                    .map(AcceleratorViews::withoutNewOrders)
                                    .toList()));
        }
    }

    /** Changes the status so that the planner plans no order for the copy. */
    private static CopyView withoutNewOrders(CopyView copy) {
        CopyView.Status status =
                switch (copy.status()) {
                    case SERVING, SERVING_WITH_OPEN_ORDER -> CopyView.Status.SERVING_WITH_OPEN_ORDER;
                    default -> CopyView.Status.BLOCKED;
                };
        return new CopyView(copy.modelVersion(), status, copy.adapters(), copy.busyAdapters());
    }

    private List<CopyView> copies(BackendServerName server, String accelerator, Ledger.StateRead read) {
        Map<ModelVersionId, List<OpenOrder>> orders = new LinkedHashMap<>();
        for (OpenOrder order : openOrdersByServer.getOrDefault(server, List.of())) {
            if (order.intent().accelerator().equals(accelerator)) {
                ModelVersionId version = new ModelVersionId(
                        order.intent().model(), order.intent().version());
                orders.computeIfAbsent(version, ignored -> new ArrayList<>()).add(order);
            }
        }
        List<CopyView> copies = new ArrayList<>();
        for (EngineState.ModelInMemory model : read.state().models()) {
            if (model.accelerator().equals(accelerator)) {
                ModelVersionId version = new ModelVersionId(model.model(), model.version());
                List<OpenOrder> copyOrders =
                        Optional.ofNullable(orders.remove(version)).orElse(List.of());
                Set<String> busy = busyAdapters(copyOrders, read);
                copies.add(new CopyView(version, status(model, copyOrders), model.adapters(), busy));
            }
        }
        orders.forEach((version, copyOrders) -> statusOfOrderedCopy(copyOrders, read)
                .ifPresent(status -> copies.add(new CopyView(version, status, Set.of(), Set.of()))));
        return copies;
    }

    private static CopyView.Status status(EngineState.ModelInMemory model, List<OpenOrder> copyOrders) {
        if (hasAction(copyOrders, Intent.Action.UNLOAD)) {
            return CopyView.Status.LEAVING;
        }
        if (!model.ready()) {
            return CopyView.Status.LOADING;
        }
        boolean hasOpenLoad = hasAction(copyOrders, Intent.Action.LOAD);
        return hasOpenLoad ? CopyView.Status.SERVING_WITH_OPEN_ORDER : CopyView.Status.SERVING;
    }

    /** Returns the status of a copy that is not in memory, empty if neither a load nor an unload is open. */
    private static Optional<CopyView.Status> statusOfOrderedCopy(List<OpenOrder> copyOrders, Ledger.StateRead read) {
        List<OpenOrder> loads = copyOrders.stream()
                .filter(order -> order.intent().action() == Intent.Action.LOAD)
                .toList();
        if (hasAction(copyOrders, Intent.Action.UNLOAD)) {
            return Optional.of(CopyView.Status.BLOCKED);
        }
        if (loads.isEmpty()) {
            return Optional.empty();
        }
        if (loads.stream().anyMatch(order -> mayStillTakeEffect(order, read))) {
            return Optional.of(CopyView.Status.LOADING);
        }
        boolean isRepeatable = loads.size() < MAX_REPETITIONS;
        return Optional.of(isRepeatable ? CopyView.Status.UNCERTAIN : CopyView.Status.BLOCKED);
    }

    private static Set<String> busyAdapters(List<OpenOrder> copyOrders, Ledger.StateRead read) {
        Set<String> busy = new HashSet<>();
        for (OpenOrder order : copyOrders) {
            String adapter = order.intent().adapter();
            long repetitions = copyOrders.stream()
                    .filter(other -> other.intent().adapter().equals(adapter))
                    .count();
            boolean isUnload = order.intent().action() == Intent.Action.UNLOAD_ADAPTER;
            if (!adapter.isEmpty() && (isUnload || repetitions >= MAX_REPETITIONS || mayStillTakeEffect(order, read))) {
                busy.add(adapter);
            }
        }
        return busy;
    }

    /** Returns {@code false} if the state should show the effect of the order but doesn't. */
    private static boolean mayStillTakeEffect(OpenOrder order, Ledger.StateRead read) {
        return order.phase() == OpenOrder.Phase.RECORDED
                || read.state().pendingOrders().contains(order.intent().number())
                || !Deadline.after(order.sinceNanos(), EFFECT_DELAY).hasPassed(read.requestedAtNanos());
    }

    private static boolean hasAction(List<OpenOrder> orders, Intent.Action action) {
        return orders.stream().anyMatch(order -> order.intent().action() == action);
    }
}
