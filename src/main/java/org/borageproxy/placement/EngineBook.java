package org.borageproxy.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.borageproxy.coordination.HeldModels;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.time.Deadline;

/**
 * What is known of one incarnation of a model engine: the models of its last announcement or report, and the orders
 * since. An order counts as carried out from its acceptance for what it takes, and from its completion for what it
 * brings, so that the room of an engine is never overestimated. Not thread safe.
 */
final class EngineBook {

    /** How long reports may show a state before the last order; engines report with a lag of some hundred ms. */
    private static final Duration REPORT_LAG = Duration.ofMillis(700);
    /** The time in which an adapter arrives, with a margin. */
    private static final Duration ADAPTER_TIME = Duration.ofMillis(25);

    private BackendServer server;
    private final Map<String, Set<String>> held = new HashMap<>();
    private final Map<String, Deadline> arrivingAdapters = new HashMap<>();
    private final Set<String> leavingAdapters = new HashSet<>();
    private final Set<String> copies = new HashSet<>();
    private long orders;
    private boolean isOrdersKnown;
    private String arrivingModel = "";
    private String leavingModel = "";
    private String awaitedModel = "";
    private String orderedModel = "";
    private Deadline arrivesAt;
    private Deadline reportsCountFrom;
    private boolean isOrdering;
    private boolean isReportedBusy;
    private int reportedAdapters;

    EngineBook(BackendServer server, long nowNanos) {
        this.server = server;
        for (LoadedModel model : server.models()) {
            held.put(model.model(), new HashSet<>(model.adapters()));
        }
        copies.addAll(held.keySet());
        announced(server);
        arrivesAt = new Deadline(nowNanos);
        reportsCountFrom = Deadline.after(nowNanos, REPORT_LAG);
    }

    BackendServer server() {
        return server;
    }

    /**
     * Takes a later announcement of the same incarnation.
     *
     * @param announced the server
     */
    void announced(BackendServer announced) {
        server = announced;
        copies.addAll(announced.copies().onDisk());
        copies.addAll(announced.copies().inMemory());
    }

    /**
     * Takes a report.
     *
     * @param state the report
     * @param askedAtNanos when the engine was asked
     */
    void reported(EngineClient.State state, long askedAtNanos) {
        boolean isStale = !reportsCountFrom.hasPassed(askedAtNanos);
        if (isStale || state.held().incarnation() != server.incarnation()) {
            return;
        }
        orders = state.held().orders();
        isOrdersKnown = true;
        held.clear();
        state.held().adaptersByModel().forEach((model, adapters) -> held.put(model, new HashSet<>(adapters)));
        copies.addAll(held.keySet());
        leavingAdapters.clear();
        isReportedBusy = state.isBusy();
        reportedAdapters = state.arrivingAdapters();
        if (state.isBusy()) {
            held.remove(leavingModel);
        } else {
            arrivingModel = "";
            leavingModel = "";
        }
    }

    /**
     * Notes that the engine lacks a model or an adapter.
     *
     * @param model the model
     * @param adapter the adapter that is absent; empty if the model is
     * @return whether it was taken to hold it
     */
    boolean absent(String model, String adapter) {
        if (adapter.isEmpty()) {
            return held.remove(model) != null;
        }
        return held.containsKey(model) && held.get(model).remove(adapter);
    }

    /**
     * Tells whether the engine's order count has to be read before an order.
     *
     * @return {@code true} before the first report and after a conflict
     */
    boolean needsReport() {
        return !isOrdersKnown || isBusy() || !leavingAdapters.isEmpty();
    }

    /**
     * Tells whether an order can be given now.
     *
     * @return {@code false} while one is under way, or the count of orders is not known
     */
    boolean takesOrders() {
        return isOrdersKnown
                && !isOrdering
                && (!isReportedBusy || isAwaiting())
                && arrivingModel.isEmpty()
                && (leavingModel.isEmpty() || isAwaiting());
    }

    /** The engine refuses the load for which room is made until the room is there. */
    private boolean isAwaiting() {
        return !awaitedModel.isEmpty();
    }

    /** Notes that the count of orders is not what it was taken for. */
    void conflicted(long nowNanos) {
        isOrdersKnown = false;
        reportsCountFrom = Deadline.after(nowNanos, REPORT_LAG);
    }

    long orders() {
        return orders;
    }

    boolean isBusy() {
        return isReportedBusy || !arrivingModel.isEmpty() || !leavingModel.isEmpty();
    }

    boolean takesAdapters() {
        return isOrdersKnown && !isOrdering;
    }

    /**
     * Notes an order that is sent and not answered yet.
     *
     * @param order the order
     */
    void ordering(EngineClient.EngineOrder order) {
        isOrdering = true;
        orderedModel = order.loads() && order.adapter().isEmpty() ? order.model() : "";
    }

    /** Notes that no order is under way any more. */
    void ordered() {
        isOrdering = false;
        orderedModel = "";
    }

    /**
     * Tells whether the engine holds a model or is about to.
     *
     * @param model the model
     * @return whether it counts as a place of the model
     */
    boolean isPlaceOf(String model) {
        return held.containsKey(model)
                || arrivingModel.equals(model)
                || awaitedModel.equals(model)
                || orderedModel.equals(model);
    }

    /**
     * Notes an accepted order.
     *
     * @param order the order
     * @param isDone whether the order is carried out already
     * @param arrival the time until a model arrives
     * @param nowNanos the reading of the clock
     */
    void accepted(EngineClient.EngineOrder order, boolean isDone, Duration arrival, long nowNanos) {
        orders++;
        reportsCountFrom = Deadline.after(nowNanos, REPORT_LAG);
        if (!order.adapter().isEmpty()) {
            Set<String> adapters = held.computeIfAbsent(order.model(), model -> new HashSet<>());
            if (order.loads()) {
                arrivingAdapters.put(key(order.model(), order.adapter()), Deadline.after(nowNanos, ADAPTER_TIME));
            } else {
                adapters.remove(order.adapter());
                if (!isDone) {
                    leavingAdapters.add(key(order.model(), order.adapter()));
                }
            }
        } else if (order.loads()) {
            awaitedModel = "";
            leavingModel = "";
            arrivingModel = order.model();
            arrivesAt = Deadline.after(nowNanos, arrival);
        } else {
            held.remove(order.model());
            leavingModel = order.model();
            arrivesAt = new Deadline(nowNanos);
        }
    }

    private static String key(String model, String adapter) {
        return model + '/' + adapter;
    }

    /**
     * Lets adapters whose time is over count as held.
     *
     * @param nowNanos the reading of the clock
     * @return whether anything arrived
     */
    boolean settle(long nowNanos) {
        return arrivingAdapters.entrySet().removeIf(entry -> {
            boolean isHere = entry.getValue().hasPassed(nowNanos);
            if (isHere) {
                int slash = entry.getKey().indexOf('/');
                String model = entry.getKey().substring(0, slash);
                held.computeIfAbsent(model, name -> new HashSet<>())
                        .add(entry.getKey().substring(slash + 1));
            }
            return isHere;
        });
    }

    boolean isArriving(String model, String adapter) {
        return arrivingAdapters.containsKey(key(model, adapter));
    }

    int arrivingAdapterCount() {
        return arrivingAdapters.size();
    }

    String arrivingModel() {
        return arrivingModel;
    }

    String leavingModel() {
        return leavingModel;
    }

    /**
     * Returns the model for which room is being made.
     *
     * @return empty for none
     */
    String awaitedModel() {
        return awaitedModel;
    }

    void awaits(String model) {
        awaitedModel = model;
    }

    Deadline arrivesAt() {
        return arrivesAt;
    }

    Map<String, Set<String>> held() {
        return held;
    }

    boolean hasCopy(String model) {
        return copies.contains(model);
    }

    boolean isInMemory(String model) {
        return server.copies().inMemory().contains(model);
    }

    /**
     * Returns how long a model takes to load, from the nearest copy.
     *
     * @param model the model
     * @return the time, without other loads at once
     */
    Duration loadTime(EnginePool.EngineModel model) {
        double seconds = isInMemory(model.name())
                ? model.memoryLoadSeconds()
                : hasCopy(model.name()) ? model.diskLoadSeconds() : model.storeLoadSeconds();
        return Duration.ofMillis((long) (seconds * 1e3));
    }

    /**
     * Returns the places for adapters that are taken or about to be.
     *
     * @return the number
     */
    int adapterCount() {
        int arriving = Math.max(arrivingAdapters.size(), reportedAdapters);
        return held.values().stream().mapToInt(Set::size).sum() + arriving + leavingAdapters.size();
    }

    /**
     * Returns what entries may use.
     *
     * @return the models
     */
    HeldModels usable() {
        Map<String, Set<String>> adapters = new HashMap<>();
        held.forEach((model, names) -> adapters.put(model, Set.copyOf(names)));
        return new HeldModels(
                server.incarnation(), orders, adapters, arrivingModel.isEmpty() ? Set.of() : Set.of(arrivingModel));
    }
}
