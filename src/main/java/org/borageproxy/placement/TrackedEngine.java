package org.borageproxy.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.time.Deadline;

/**
 * What is known of one incarnation of a model engine: the models of its last announcement or report, and the orders
 * since. An order counts as carried out from its acceptance for what it takes, and from its completion for what it
 * brings, so that the room of an engine is never overestimated. Not thread safe.
 */
final class TrackedEngine {

    /** How long reports may show a state before the last order; engines report with a lag of some hundred ms. */
    private static final Duration REPORT_LAG = Duration.ofMillis(700);
    /** The time in which an adapter arrives, with a margin. */
    private static final Duration ADAPTER_TIME = Duration.ofMillis(25);

    private BackendServer server;
    private final Map<String, Set<String>> loadedModels = new HashMap<>();
    private final Map<String, Deadline> arrivingAdapters = new HashMap<>();
    private final Set<String> leavingAdapters = new HashSet<>();
    private final Set<String> copies = new HashSet<>();
    private long orderCount;
    private boolean isOrdersKnown;
    private String loadingModel = "";
    private String unloadingModel = "";
    private String successorModel = "";
    private String orderedModel = "";
    private Deadline loadCompletesAt;
    private Deadline reportsCountFrom;
    private boolean isOrdering;
    private boolean isReportedBusy;
    private int reportedAdapters;

    TrackedEngine(BackendServer server, long nowNanos) {
        this.server = server;
        for (LoadedModel model : server.models()) {
            loadedModels.put(model.model(), new HashSet<>(model.adapters()));
        }
        copies.addAll(loadedModels.keySet());
        applyAnnouncement(server);
        loadCompletesAt = new Deadline(nowNanos);
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
    void applyAnnouncement(BackendServer announced) {
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
    void applyReport(EngineClient.EngineReport state, long askedAtNanos) {
        boolean isStale = !reportsCountFrom.hasPassed(askedAtNanos);
        if (isStale || state.loadedModels().incarnation() != server.incarnation()) {
            return;
        }
        orderCount = state.loadedModels().acceptedOrders();
        isOrdersKnown = true;
        loadedModels.clear();
        state.loadedModels()
                .adaptersByModel()
                .forEach((model, adapters) -> loadedModels.put(model, new HashSet<>(adapters)));
        copies.addAll(loadedModels.keySet());
        leavingAdapters.clear();
        isReportedBusy = state.isBusy();
        reportedAdapters = state.loadingAdapterCount();
        if (state.isBusy()) {
            loadedModels.remove(unloadingModel);
        } else {
            loadingModel = "";
            unloadingModel = "";
        }
    }

    /**
     * Notes that the engine lacks a model or an adapter.
     *
     * @param model the model
     * @param adapter the adapter that is absent; empty if the model is
     * @return whether it was taken to hold it
     */
    boolean markAbsent(String model, String adapter) {
        if (adapter.isEmpty()) {
            return loadedModels.remove(model) != null;
        }
        return loadedModels.containsKey(model) && loadedModels.get(model).remove(adapter);
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
    boolean acceptsOrders() {
        return isOrdersKnown
                && !isOrdering
                && (!isReportedBusy || isAwaiting())
                && loadingModel.isEmpty()
                && (unloadingModel.isEmpty() || isAwaiting());
    }

    /** The engine refuses the load for which room is made until the room is there. */
    private boolean isAwaiting() {
        return !successorModel.isEmpty();
    }

    /** Notes that the count of orders is not what it was taken for. */
    void invalidateOrderCount(long nowNanos) {
        isOrdersKnown = false;
        reportsCountFrom = Deadline.after(nowNanos, REPORT_LAG);
    }

    long orderCount() {
        return orderCount;
    }

    boolean isBusy() {
        return isReportedBusy || !loadingModel.isEmpty() || !unloadingModel.isEmpty();
    }

    boolean acceptsAdapterOrders() {
        return isOrdersKnown && !isOrdering;
    }

    /**
     * Notes an order that is sent and not answered yet.
     *
     * @param order the order
     */
    void beginOrder(EngineClient.EngineOrder order) {
        isOrdering = true;
        orderedModel = order.isLoad() && order.adapter().isEmpty() ? order.model() : "";
    }

    /** Notes that no order is under way any more. */
    void endOrder() {
        isOrdering = false;
        orderedModel = "";
    }

    /**
     * Tells whether the engine holds a model or is about to.
     *
     * @param model the model
     * @return whether it counts as a place of the model
     */
    boolean hasOrExpects(String model) {
        return loadedModels.containsKey(model)
                || loadingModel.equals(model)
                || successorModel.equals(model)
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
    void applyAcceptedOrder(EngineClient.EngineOrder order, boolean isDone, Duration arrival, long nowNanos) {
        orderCount++;
        reportsCountFrom = Deadline.after(nowNanos, REPORT_LAG);
        if (!order.adapter().isEmpty()) {
            Set<String> adapters = loadedModels.computeIfAbsent(order.model(), model -> new HashSet<>());
            if (order.isLoad()) {
                arrivingAdapters.put(key(order.model(), order.adapter()), Deadline.after(nowNanos, ADAPTER_TIME));
            } else {
                adapters.remove(order.adapter());
                if (!isDone) {
                    leavingAdapters.add(key(order.model(), order.adapter()));
                }
            }
        } else if (order.isLoad()) {
            successorModel = "";
            unloadingModel = "";
            loadingModel = order.model();
            loadCompletesAt = Deadline.after(nowNanos, arrival);
        } else {
            loadedModels.remove(order.model());
            unloadingModel = order.model();
            loadCompletesAt = new Deadline(nowNanos);
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
    boolean completeAdapterLoads(long nowNanos) {
        return arrivingAdapters.entrySet().removeIf(entry -> {
            boolean isHere = entry.getValue().hasPassed(nowNanos);
            if (isHere) {
                int slash = entry.getKey().indexOf('/');
                String model = entry.getKey().substring(0, slash);
                loadedModels
                        .computeIfAbsent(model, name -> new HashSet<>())
                        .add(entry.getKey().substring(slash + 1));
            }
            return isHere;
        });
    }

    boolean isLoadingAdapter(String model, String adapter) {
        return arrivingAdapters.containsKey(key(model, adapter));
    }

    int loadingAdapterCount() {
        return arrivingAdapters.size();
    }

    String loadingModel() {
        return loadingModel;
    }

    String unloadingModel() {
        return unloadingModel;
    }

    /**
     * Returns the model for which room is being made.
     *
     * @return empty for none
     */
    String successorModel() {
        return successorModel;
    }

    void setSuccessorModel(String model) {
        successorModel = model;
    }

    Deadline loadCompletesAt() {
        return loadCompletesAt;
    }

    Map<String, Set<String>> loadedModels() {
        return loadedModels;
    }

    boolean hasLocalWeights(String model) {
        return copies.contains(model);
    }

    boolean hasWeightsInHostMemory(String model) {
        return server.copies().inMemory().contains(model);
    }

    /**
     * Returns how long a model takes to load, from the nearest copy.
     *
     * @param model the model
     * @return the time, without other loads at once
     */
    Duration loadTime(EnginePool.EngineModel model) {
        double seconds = hasWeightsInHostMemory(model.name())
                ? model.memoryLoadSeconds()
                : hasLocalWeights(model.name()) ? model.diskLoadSeconds() : model.storeLoadSeconds();
        return Duration.ofMillis((long) (seconds * 1e3));
    }

    /**
     * Returns the places for adapters that are taken or about to be.
     *
     * @return the number
     */
    int occupiedAdapterSlots() {
        int arriving = Math.max(arrivingAdapters.size(), reportedAdapters);
        return loadedModels.values().stream().mapToInt(Set::size).sum() + arriving + leavingAdapters.size();
    }

    /**
     * Returns what entries may use.
     *
     * @return the models
     */
    ModelInventory usableModels() {
        Map<String, Set<String>> adapters = new HashMap<>();
        loadedModels.forEach((model, names) -> adapters.put(model, Set.copyOf(names)));
        return new ModelInventory(
                server.incarnation(), orderCount, adapters, loadingModel.isEmpty() ? Set.of() : Set.of(loadingModel));
    }
}
