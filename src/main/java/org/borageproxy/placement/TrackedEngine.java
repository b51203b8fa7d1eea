package org.borageproxy.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.coordination.ModelInventory;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.time.Deadline;

/**
 * The known state of one incarnation of a model engine: the models of its last announcement or report, updated by the
 * orders that it has accepted since. An accepted unload makes its model or adapter unusable immediately, and an
 * accepted load occupies memory immediately. The memory of a model that is being unloaded counts as free: the engine
 * rejects a load until it has the room. An adapter that is being unloaded occupies its slot until a report confirms its
 * removal. Not thread safe.
 */
final class TrackedEngine {

    /**
     * A report requested within this time after an order may show the state before it; engines report with a lag of
     * several hundred milliseconds.
     */
    private static final Duration MAX_REPORT_LAG = Duration.ofMillis(700);
    /** Time after which an ordered adapter counts as loaded, with a margin. */
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(25);
    /** Time after its load for which a model is kept; refused callers are told to come back within it. */
    private static final Duration KEPT_TIME = Duration.ofSeconds(10);

    private BackendServer server;
    private final Map<String, Set<String>> loadedModels = new HashMap<>();
    private final Map<String, Deadline> loadingAdapters = new HashMap<>();
    private final Map<String, Deadline> keptUntil = new HashMap<>();
    private final Set<String> unloadingAdapters = new HashSet<>();
    private final Set<String> locallyStoredModels = new HashSet<>();
    private long orderCount;
    private boolean isOrderCountKnown;
    private String loadingModel = "";
    private String unloadingModel = "";
    private String successorModel = "";
    private String requestedModel = "";
    /** Orders that were rejected since room for the successor was being made. */
    private int rejectedLoads;
    /** Adapter whose load was ordered without an answer yet; an empty string if there is none. */
    private String requestedAdapter = "";
    /** Model whose unload was ordered without an answer yet; an empty string if there is none. */
    private String unloadRequestedModel = "";

    private Deadline loadCompletesAt;
    private Deadline reportsValidFrom;
    private boolean isOrderInFlight;
    private boolean isLimiting;
    private boolean isCallPermitted = true;
    private boolean wasReportedBusy;
    private int reportedLoadingAdapters;

    TrackedEngine(BackendServer server, long nowNanos) {
        this.server = server;
        for (LoadedModel model : server.models()) {
            loadedModels.put(model.model(), new HashSet<>(model.adapters()));
        }
        locallyStoredModels.addAll(loadedModels.keySet());
        applyAnnouncement(server);
        loadCompletesAt = new Deadline(nowNanos);
        reportsValidFrom = Deadline.after(nowNanos, MAX_REPORT_LAG);
    }

    BackendServer server() {
        return server;
    }

    /**
     * Applies a later announcement of the same incarnation.
     *
     * @param announced the announced server
     */
    void applyAnnouncement(BackendServer announced) {
        server = announced;
        locallyStoredModels.addAll(announced.localWeights().onDisk());
        locallyStoredModels.addAll(announced.localWeights().inMemory());
    }

    /**
     * Applies a report, unless it may predate the last order or belongs to another incarnation.
     *
     * @param report the report
     * @param requestedAtNanos the time at which the report was requested
     */
    void applyReport(EngineClient.EngineReport report, long requestedAtNanos) {
        boolean isStale = !reportsValidFrom.hasPassed(requestedAtNanos);
        if (isStale || report.loadedModels().incarnation() != server.incarnation()) {
            return;
        }
        orderCount = report.loadedModels().acceptedOrders();
        isOrderCountKnown = true;
        Set<String> reportedModels = report.loadedModels().adaptersByModel().keySet();
        reportedModels.stream()
                .filter(model -> !loadedModels.containsKey(model))
                .forEach(model -> keptUntil.put(model, Deadline.after(requestedAtNanos, KEPT_TIME)));
        keptUntil.keySet().retainAll(reportedModels);
        loadedModels.clear();
        report.loadedModels()
                .adaptersByModel()
                .forEach((model, adapters) -> loadedModels.put(model, new HashSet<>(adapters)));
        locallyStoredModels.addAll(loadedModels.keySet());
        unloadingAdapters.clear();
        wasReportedBusy = report.isBusy();
        reportedLoadingAdapters = report.loadingAdapterCount();
        if (report.isBusy()) {
            loadedModels.remove(unloadingModel);
        } else {
            loadingModel = "";
            unloadingModel = "";
        }
    }

    /**
     * Returns whether a model was loaded so lately that it should not be unloaded yet.
     *
     * @param model the model
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return {@code true} if it was first reported less than {@link #KEPT_TIME} ago, and not announced before
     */
    boolean isKept(String model, long nowNanos) {
        Deadline deadline = keptUntil.get(model);
        return deadline != null && !deadline.hasPassed(nowNanos);
    }

    /**
     * Records that the engine lacks a model or an adapter.
     *
     * @param model the model
     * @param adapter the adapter that is absent, empty if the model itself is
     * @return whether it was recorded as loaded
     */
    boolean markAbsent(String model, String adapter) {
        if (adapter.isEmpty()) {
            return loadedModels.remove(model) != null;
        }
        return loadedModels.containsKey(model) && loadedModels.get(model).remove(adapter);
    }

    /**
     * Sets what the engine's limit of requests allows.
     *
     * @param isNowLimiting whether the engine states limits
     * @param isNowPermitted whether a call may be sent to it now
     */
    void setLimits(boolean isNowLimiting, boolean isNowPermitted) {
        isLimiting = isNowLimiting;
        isCallPermitted = isNowPermitted;
    }

    /**
     * Returns whether the engine states limits, so that it serves less than others.
     *
     * @return the value of the last {@link #setLimits}
     */
    boolean isLimiting() {
        return isLimiting;
    }

    /**
     * Returns whether a report is needed soon: the number of accepted orders is unknown, or an order is being executed.
     *
     * @return {@code true} if reports should be read at the shorter interval
     */
    boolean needsReport() {
        return !isOrderCountKnown || isBusy() || !unloadingAdapters.isEmpty();
    }

    /**
     * Returns whether an order for a model can be sent now.
     *
     * @return {@code false} while an order is unanswered or being executed, or if the number of accepted orders is
     *     unknown
     */
    boolean acceptsOrders() {
        return acceptsAdapterOrders()
                && (!wasReportedBusy || hasSuccessor())
                && loadingModel.isEmpty()
                && (unloadingModel.isEmpty() || hasSuccessor());
    }

    /**
     * While room for a successor is being made, its load may already be sent: the engine rejects it until the room is
     * free.
     */
    private boolean hasSuccessor() {
        return !successorModel.isEmpty();
    }

    /** Requires a new report before the next order, since the number of accepted orders is not the expected one. */
    void invalidateOrderCount(long nowNanos) {
        isOrderCountKnown = false;
        reportsValidFrom = Deadline.after(nowNanos, MAX_REPORT_LAG);
    }

    long orderCount() {
        return orderCount;
    }

    boolean isBusy() {
        return wasReportedBusy || !loadingModel.isEmpty() || !unloadingModel.isEmpty();
    }

    boolean acceptsAdapterOrders() {
        return isOrderCountKnown && !isOrderInFlight && isCallPermitted;
    }

    /**
     * Records that an order has been sent and not yet answered.
     *
     * @param order the order
     */
    void beginOrder(EngineClient.EngineOrder order) {
        isOrderInFlight = true;
        boolean isForModel = order.adapter().isEmpty();
        requestedModel = isForModel && order.isLoad() ? order.model() : "";
        requestedAdapter = !isForModel && order.isLoad() ? adapterKey(order.model(), order.adapter()) : "";
        unloadRequestedModel = isForModel && !order.isLoad() ? order.model() : "";
    }

    /** Records that no order is unanswered any more. */
    void endOrder() {
        isOrderInFlight = false;
        requestedModel = "";
        requestedAdapter = "";
        unloadRequestedModel = "";
    }

    /**
     * Returns whether the engine has a model and was not told to unload it.
     *
     * @param model the model
     * @return {@code false} also while an order to unload it is unanswered
     */
    boolean keeps(String model) {
        return loadedModels.containsKey(model) && !unloadRequestedModel.equals(model);
    }

    /**
     * Returns whether the engine has a model, is loading it, or is about to load it.
     *
     * @param model the model
     * @return whether the engine counts as a replica of the model
     */
    boolean hasOrExpects(String model) {
        return keeps(model)
                || loadingModel.equals(model)
                || successorModel.equals(model)
                || requestedModel.equals(model);
    }

    /**
     * Applies an order that the engine has accepted.
     *
     * @param order the order
     * @param isDone whether the order has already been executed
     * @param loadTime the expected time that the load of a model takes
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    void applyAcceptedOrder(EngineClient.EngineOrder order, boolean isDone, Duration loadTime, long nowNanos) {
        orderCount++;
        reportsValidFrom = Deadline.after(nowNanos, MAX_REPORT_LAG);
        if (!order.adapter().isEmpty()) {
            if (order.isLoad()) {
                loadingAdapters.put(
                        adapterKey(order.model(), order.adapter()), Deadline.after(nowNanos, ADAPTER_LOAD_TIME));
            } else {
                loadedModels.getOrDefault(order.model(), new HashSet<>()).remove(order.adapter());
                if (!isDone) {
                    unloadingAdapters.add(adapterKey(order.model(), order.adapter()));
                }
            }
        } else if (order.isLoad()) {
            setSuccessorModel("");
            unloadingModel = "";
            loadingModel = order.model();
            loadCompletesAt = Deadline.after(nowNanos, loadTime);
        } else {
            loadedModels.remove(order.model());
            loadingAdapters.keySet().removeIf(adapter -> adapter.startsWith(adapterKey(order.model(), "")));
            unloadingModel = order.model();
            loadCompletesAt = new Deadline(nowNanos);
        }
    }

    private static String adapterKey(String model, String adapter) {
        return model + '/' + adapter;
    }

    /**
     * Marks adapters as loaded whose expected load time has passed.
     *
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return whether any adapter became usable
     */
    boolean completeAdapterLoads(long nowNanos) {
        return loadingAdapters.entrySet().removeIf(entry -> {
            boolean isComplete = entry.getValue().hasPassed(nowNanos);
            if (isComplete) {
                int slash = entry.getKey().indexOf('/');
                String model = entry.getKey().substring(0, slash);
                Set<String> adapters = loadedModels.get(model);
                if (adapters != null) {
                    adapters.add(entry.getKey().substring(slash + 1));
                }
            }
            return isComplete;
        });
    }

    /** Returns whether an adapter is being loaded, or an order to load it is unanswered. */
    boolean isLoadingAdapter(String model, String adapter) {
        String key = adapterKey(model, adapter);
        return loadingAdapters.containsKey(key) || requestedAdapter.equals(key);
    }

    int loadingAdapterCount() {
        return loadingAdapters.size();
    }

    String loadingModel() {
        return loadingModel;
    }

    String unloadingModel() {
        return unloadingModel;
    }

    /**
     * Returns the model for which room is being made on the engine.
     *
     * @return the name of the model, empty for none
     */
    String successorModel() {
        return successorModel;
    }

    void setSuccessorModel(String model) {
        successorModel = model;
        rejectedLoads = 0;
    }

    /** Returns whether the engine is unloading a model for a successor. */
    boolean isMakingRoom() {
        return hasSuccessor() && !unloadingModel.isEmpty();
    }

    /**
     * Records whether the engine had the room that was made for a successor.
     *
     * @param order the order
     * @param reply the reply
     * @return whether the first load of the successor was accepted, known once it or the second one is; empty if the
     *     order is another one, or if the room took longer, as while the engine runs requests of the unloaded model
     */
    Optional<Boolean> recordReply(EngineClient.EngineOrder order, EngineClient.OrderReply reply) {
        boolean isForSuccessor = order.isLoad()
                && order.adapter().isEmpty()
                && isMakingRoom()
                && order.model().equals(successorModel);
        int rejectedBefore = rejectedLoads;
        boolean isRejected = reply == EngineClient.OrderReply.CONFLICT;
        rejectedLoads = isRejected ? rejectedLoads + 1 : 0;
        boolean isKnown = isForSuccessor && !isRejected && rejectedBefore <= 1;
        return isKnown ? Optional.of(rejectedBefore == 0) : Optional.empty();
    }

    /** Returns how often the engine rejected orders since room was being made. */
    int rejectedLoads() {
        return rejectedLoads;
    }

    Deadline loadCompletesAt() {
        return loadCompletesAt;
    }

    Map<String, Set<String>> loadedModels() {
        return loadedModels;
    }

    boolean hasLocalWeights(String model) {
        return locallyStoredModels.contains(model);
    }

    boolean hasWeightsInHostMemory(String model) {
        return server.localWeights().inMemory().contains(model);
    }

    /**
     * Returns the expected load time of a model from the fastest source that the engine has.
     *
     * @param model the model
     * @return the time if no other load runs in parallel
     */
    Duration loadTime(EnginePool.EngineModel model) {
        double seconds = hasWeightsInHostMemory(model.name())
                ? model.memoryLoadSeconds()
                : hasLocalWeights(model.name()) ? model.diskLoadSeconds() : model.storeLoadSeconds();
        return Duration.ofMillis((long) (seconds * 1e3));
    }

    /**
     * Returns the number of adapter slots in use, including adapters that are being loaded or unloaded.
     *
     * @return the number of slots
     */
    int occupiedAdapterSlots() {
        int loading = Math.max(loadingAdapters.size(), reportedLoadingAdapters);
        return loadedModels.values().stream().mapToInt(Set::size).sum() + loading + unloadingAdapters.size();
    }

    /**
     * Returns the number of adapters that are being unloaded, whose slots a later report shows as free.
     *
     * @return the number of slots
     */
    int unloadingAdapterCount() {
        return unloadingAdapters.size();
    }

    /**
     * Returns the models and adapters that entry VMs may use.
     *
     * @return the models, with those that are being loaded
     */
    ModelInventory usableModels() {
        Map<String, Set<String>> adapters = new HashMap<>();
        loadedModels.forEach((model, names) -> adapters.put(model, Set.copyOf(names)));
        return new ModelInventory(
                server.incarnation(), orderCount, adapters, loadingModel.isEmpty() ? Set.of() : Set.of(loadingModel));
    }
}
