package org.borageproxy.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.Accelerator;
import org.borageproxy.membership.LoadedModel;

/**
 * The model versions in the memory of a simulated engine and the orders that change them. Loads never exceed the memory
 * of an accelerator: an order that would exceed it is counted and has no effect. The size of preloaded models is not
 * checked. One instance serves one incarnation. Confined to one event loop.
 */
final class EngineModels {

    /** Interval of the check whether a model that is being unloaded still has requests. */
    private static final long UNLOAD_POLL_MILLIS = 10;

    private final Vertx vertx;
    private final EngineOptions options;
    private final WeightFetcher weightFetcher;
    private final Predicate<ResidentModel> hasRequests;
    private final Runnable changeListener;
    private final List<ResidentModel> residents = new ArrayList<>();
    /** Numbers of the accepted orders whose execution is delayed by a fault. */
    private final Set<Long> pendingOrders = new TreeSet<>();

    private long highestFencing;
    /** Number of load orders rejected because the accelerator had too little free memory or does not exist. */
    private long overcommitCount;
    /** Number of model loads started, without preloaded models and adapters. */
    private long loadCount;

    private boolean isClosed;

    /**
     * Creates the memory with the preloaded models.
     *
     * @param weightFetcher fetches the weights before a load
     * @param hasRequests returns whether a model version has running or waiting requests
     * @param changeListener called after each change of the usable models, not after {@link #close}
     */
    EngineModels(
            Vertx vertx,
            EngineOptions options,
            WeightFetcher weightFetcher,
            Predicate<ResidentModel> hasRequests,
            Runnable changeListener) {
        this.vertx = vertx;
        this.options = options;
        this.weightFetcher = weightFetcher;
        this.hasRequests = hasRequests;
        this.changeListener = changeListener;
        options.memory().preloaded().forEach(this::preload);
    }

    /** Fetches weights before a load. */
    @FunctionalInterface
    interface WeightFetcher {

        /**
         * Fetches the weights of a model or adapter.
         *
         * @param order the load order
         * @return completes when the transfer has ended; the load continues after a failure, too
         */
        Future<Void> fetch(Order order);
    }

    /** The response to an order. */
    enum Reply {
        /** The order is executed now or after the configured delay. */
        ACCEPTED,
        /** The fencing number is lower than the highest one accepted. */
        FENCED,
        /** The accelerator has too little free memory or does not exist. */
        NO_MEMORY,
        /** The base model of an adapter is not in memory, or the action is unknown. */
        NOT_FOUND
    }

    private void preload(LoadedModel loaded) {
        long bytes = options.memory().bytesOf(loaded.model());
        ResidentModel resident = new ResidentModel(loaded.model(), loaded.version(), loaded.accelerator(), bytes, 0);
        resident.adapters.addAll(loaded.adapters());
        resident.isReady = true;
        residents.add(resident);
    }

    /**
     * Accepts or rejects an order and executes it after a delay.
     *
     * @param delayMillis the delay of the execution in milliseconds; zero or less executes at once
     * @return the response; a delayed order is always accepted, and the result of its execution is not reported
     */
    Reply handleOrder(Order order, long delayMillis) {
        if (options.checksFencing() && order.fencing() < highestFencing) {
            return Reply.FENCED;
        }
        highestFencing = Math.max(highestFencing, order.fencing());
        if (delayMillis <= 0) {
            return execute(order);
        }
        pendingOrders.add(order.number());
        vertx.setTimer(delayMillis, ignored -> {
            pendingOrders.remove(order.number());
            if (!isClosed) {
                execute(order);
            }
        });
        return Reply.ACCEPTED;
    }

    /** Records the fencing number of an order without executing it. */
    void dropOrder(Order order) {
        highestFencing = Math.max(highestFencing, order.fencing());
    }

    private Reply execute(Order order) {
        return switch (order.action()) {
            case "load" -> load(order);
            case "unload" -> unload(order);
            case "load_adapter" -> loadAdapter(order);
            case "unload_adapter" -> unloadAdapter(order);
            default -> Reply.NOT_FOUND;
        };
    }

    /** A second load onto the same accelerator only raises the last order number. */
    private Reply load(Order order) {
        Optional<ResidentModel> present =
                findModel(order).filter(resident -> resident.accelerator.equals(order.accelerator()));
        if (present.isPresent()) {
            present.get().lastOrderNumber = Math.max(present.get().lastOrderNumber, order.number());
            return Reply.ACCEPTED;
        }
        long bytes = options.memory().bytesOf(order.model());
        if (!hasFreeMemory(order.accelerator(), bytes)) {
            overcommitCount++;
            return Reply.NO_MEMORY;
        }
        ResidentModel resident =
                new ResidentModel(order.model(), order.version(), order.accelerator(), bytes, order.number());
        residents.add(resident);
        loadCount++;
        weightFetcher
                .fetch(order)
                .onComplete(ignored -> vertx.setTimer(options.timing().loadMillis(), timer -> {
                    resident.isReady = !resident.isUnloading;
                    notifyChange();
                }));
        return Reply.ACCEPTED;
    }

    /** The model version accepts no new requests from now on; its memory is freed after the last request. */
    private Reply unload(Order order) {
        findModel(order).ifPresent(resident -> {
            resident.isUnloading = true;
            resident.isReady = false;
            resident.lastOrderNumber = order.number();
            vertx.setTimer(Math.max(1, options.timing().unloadMillis()), ignored -> freeWhenUnused(resident));
            notifyChange();
        });
        return Reply.ACCEPTED;
    }

    private void freeWhenUnused(ResidentModel resident) {
        if (hasRequests.test(resident)) {
            vertx.setTimer(UNLOAD_POLL_MILLIS, ignored -> freeWhenUnused(resident));
            return;
        }
        residents.remove(resident);
    }

    private Reply loadAdapter(Order order) {
        Optional<ResidentModel> base = findModel(order);
        if (base.isEmpty()) {
            return Reply.NOT_FOUND;
        }
        ResidentModel resident = base.get();
        if (resident.adapters.contains(order.adapter()) || resident.loadingAdapters.contains(order.adapter())) {
            return Reply.ACCEPTED;
        }
        if (!hasFreeMemory(resident.accelerator, options.memory().adapterBytes())) {
            overcommitCount++;
            return Reply.NO_MEMORY;
        }
        resident.loadingAdapters.add(order.adapter());
        weightFetcher
                .fetch(order)
                .onComplete(ignored -> vertx.setTimer(options.timing().adapterLoadMillis(), timer -> {
                    if (resident.loadingAdapters.remove(order.adapter())) {
                        resident.adapters.add(order.adapter());
                    }
                    notifyChange();
                }));
        return Reply.ACCEPTED;
    }

    private Reply unloadAdapter(Order order) {
        findModel(order).ifPresent(resident -> {
            resident.adapters.remove(order.adapter());
            resident.loadingAdapters.remove(order.adapter());
            notifyChange();
        });
        return Reply.ACCEPTED;
    }

    /** Ignores models that are being unloaded. An empty accelerator in the order matches every accelerator. */
    private Optional<ResidentModel> findModel(Order order) {
        return residents.stream()
                .filter(resident -> resident.isVersion(order.model(), order.version()))
                .filter(resident -> order.accelerator().isEmpty() || resident.accelerator.equals(order.accelerator()))
                .findFirst();
    }

    private boolean hasFreeMemory(String accelerator, long bytes) {
        return options.memory().accelerators().stream()
                .filter(candidate -> candidate.name().equals(accelerator))
                .anyMatch(candidate -> usedBytes(accelerator) + bytes <= candidate.memoryBytes());
    }

    private long usedBytes(String accelerator) {
        return residents.stream()
                .filter(resident -> resident.accelerator.equals(accelerator))
                .mapToLong(resident -> resident.totalBytes(options.memory().adapterBytes()))
                .sum();
    }

    private void notifyChange() {
        if (!isClosed) {
            changeListener.run();
        }
    }

    /**
     * Finds a model version that accepts requests.
     *
     * @param adapter the adapter that has to be loaded, too; empty for none
     * @return the first match on any accelerator
     */
    Optional<ResidentModel> findUsable(String model, String version, String adapter) {
        return residents.stream()
                .filter(resident -> resident.isReady && resident.isVersion(model, version))
                .filter(resident -> adapter.isEmpty() || resident.adapters.contains(adapter))
                .findFirst();
    }

    /** Returns the model versions that accept requests, as announced. */
    List<LoadedModel> usableModels() {
        return residents.stream()
                .filter(resident -> resident.isReady)
                .map(ResidentModel::toLoadedModel)
                .toList();
    }

    /** Ends the incarnation: delayed orders and change notifications have no effect any more. */
    void close() {
        isClosed = true;
    }

    /** Returns the highest fencing number accepted. */
    long highestFencing() {
        return highestFencing;
    }

    /**
     * Returns the number of load orders rejected because the accelerator had too little free memory or does not exist.
     */
    long overcommitCount() {
        return overcommitCount;
    }

    /** Returns the number of model loads started. */
    long loadCount() {
        return loadCount;
    }

    /** Returns the fields of {@code GET /v1/state} that describe memory and orders. */
    JsonObject toJson() {
        JsonArray accelerators = new JsonArray();
        for (Accelerator accelerator : options.memory().accelerators()) {
            accelerators.add(new JsonObject()
                    .put("name", accelerator.name())
                    .put("memory_bytes", accelerator.memoryBytes())
                    .put("used_bytes", usedBytes(accelerator.name())));
        }
        JsonArray models = new JsonArray();
        residents.forEach(resident -> models.add(resident.toJson()));
        return new JsonObject()
                .put("highest_fencing", highestFencing)
                .put("accelerators", accelerators)
                .put("models", models)
                .put("pending_orders", new JsonArray(new ArrayList<>(pendingOrders)));
    }
}
