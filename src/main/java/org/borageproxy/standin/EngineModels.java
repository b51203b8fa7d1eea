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
 * The memory of a stand-in engine and the orders that change it. The memory in use never exceeds an accelerator's
 * memory; an order that would exceed it is counted and has no effect. Confined to one event loop.
 */
final class EngineModels {

    /** The time between two looks whether a model that is being unloaded still runs requests, in milliseconds. */
    private static final long UNLOAD_POLL_MILLIS = 10;

    /** The event loops and timers. */
    private final Vertx vertx;
    /** How the engine is set up. */
    private final EngineOptions options;
    /** Fetches the weights of an order. */
    private final Fetch fetch;
    /** Tells whether requests of a model still run. */
    private final Predicate<Resident> inUse;
    /** Called after each change of the models that can be used. */
    private final Runnable changed;
    /** The models in memory. */
    private final List<Resident> residents = new ArrayList<>();
    /** Numbers of the orders that are accepted and not finished. */
    private final Set<Long> pending = new TreeSet<>();
    /** The highest fencing number accepted. */
    private long highestFencing;
    /** Orders that would have exceeded an accelerator's memory. */
    private long overcommits;
    /** Orders that had an effect on models, loads only. */
    private long loads;
    /** Whether this incarnation has ended. */
    private boolean ended;

    /**
     * Creates the memory with the preloaded models.
     *
     * @param vertx the event loops and timers
     * @param options how the engine is set up
     * @param fetch fetches the weights of an order
     * @param inUse tells whether requests of a model still run
     * @param changed called after each change of the models that can be used
     */
    EngineModels(Vertx vertx, EngineOptions options, Fetch fetch, Predicate<Resident> inUse, Runnable changed) {
        this.vertx = vertx;
        this.options = options;
        this.fetch = fetch;
        this.inUse = inUse;
        this.changed = changed;
        options.memory().preloaded().forEach(this::preload);
    }

    /** Fetches weights before a load. */
    @FunctionalInterface
    interface Fetch {

        /**
         * Fetches the weights of an order.
         *
         * @param order the order
         * @return completes when the weights are there
         */
        Future<Void> weights(Order order);
    }

    /** The answer to an order. */
    enum Reply {
        /** The order will be executed. */
        ACCEPTED,
        /** The order carries an old fencing number. */
        FENCED,
        /** The accelerator has no room. */
        NO_MEMORY,
        /** The base model or the accelerator is not there. */
        NOT_FOUND
    }

    /**
     * Puts a model into memory at the start.
     *
     * @param loaded the model
     */
    private void preload(LoadedModel loaded) {
        long bytes = options.memory().bytesOf(loaded.model());
        Resident resident = new Resident(loaded.model(), loaded.version(), loaded.accelerator(), bytes, 0);
        resident.adapters.addAll(loaded.adapters());
        resident.ready = true;
        residents.add(resident);
    }

    /**
     * Takes an order.
     *
     * @param order the order
     * @param delayMillis the time by which it is executed late, in milliseconds
     * @return the answer
     */
    Reply take(Order order, long delayMillis) {
        if (options.checksFencing() && order.fencing() < highestFencing) {
            return Reply.FENCED;
        }
        highestFencing = Math.max(highestFencing, order.fencing());
        if (delayMillis <= 0) {
            return execute(order);
        }
        pending.add(order.number());
        vertx.setTimer(delayMillis, ignored -> {
            pending.remove(order.number());
            if (!ended) {
                execute(order);
            }
        });
        return Reply.ACCEPTED;
    }

    /**
     * Takes an order and forgets it.
     *
     * @param order the order
     */
    void lose(Order order) {
        highestFencing = Math.max(highestFencing, order.fencing());
    }

    /**
     * Executes an order.
     *
     * @param order the order
     * @return the answer
     */
    private Reply execute(Order order) {
        return switch (order.action()) {
            case "load" -> load(order);
            case "unload" -> unload(order);
            case "load_adapter" -> loadAdapter(order);
            case "unload_adapter" -> unloadAdapter(order);
            default -> Reply.NOT_FOUND;
        };
    }

    /**
     * Starts to load a model version; a second load on the same accelerator has no effect.
     *
     * @param order the order
     * @return the answer
     */
    private Reply load(Order order) {
        Optional<Resident> present = find(order).filter(resident -> resident.accelerator.equals(order.accelerator()));
        if (present.isPresent()) {
            present.get().order = Math.max(present.get().order, order.number());
            return Reply.ACCEPTED;
        }
        long bytes = options.memory().bytesOf(order.model());
        if (!fits(order.accelerator(), bytes)) {
            overcommits++;
            return Reply.NO_MEMORY;
        }
        Resident resident = new Resident(order.model(), order.version(), order.accelerator(), bytes, order.number());
        residents.add(resident);
        loads++;
        fetch.weights(order)
                .onComplete(ignored -> vertx.setTimer(options.timing().loadMillis(), timer -> {
                    resident.ready = !resident.unloading;
                    changed();
                }));
        return Reply.ACCEPTED;
    }

    /**
     * Starts to unload a model version, which gets no new requests from now on.
     *
     * @param order the order
     * @return the answer
     */
    private Reply unload(Order order) {
        find(order).ifPresent(resident -> {
            resident.unloading = true;
            resident.ready = false;
            resident.order = order.number();
            vertx.setTimer(Math.max(1, options.timing().unloadMillis()), ignored -> freeWhenUnused(resident));
            changed();
        });
        return Reply.ACCEPTED;
    }

    /**
     * Frees the memory of a model once no request of it runs.
     *
     * @param resident the model
     */
    private void freeWhenUnused(Resident resident) {
        if (inUse.test(resident)) {
            vertx.setTimer(UNLOAD_POLL_MILLIS, ignored -> freeWhenUnused(resident));
            return;
        }
        residents.remove(resident);
    }

    /**
     * Starts to load an adapter beside its model.
     *
     * @param order the order
     * @return the answer
     */
    private Reply loadAdapter(Order order) {
        Optional<Resident> base = find(order);
        if (base.isEmpty()) {
            return Reply.NOT_FOUND;
        }
        Resident resident = base.get();
        if (resident.adapters.contains(order.adapter()) || resident.loadingAdapters.contains(order.adapter())) {
            return Reply.ACCEPTED;
        }
        if (!fits(resident.accelerator, options.memory().adapterBytes())) {
            overcommits++;
            return Reply.NO_MEMORY;
        }
        resident.loadingAdapters.add(order.adapter());
        fetch.weights(order)
                .onComplete(ignored -> vertx.setTimer(options.timing().adapterLoadMillis(), timer -> {
                    if (resident.loadingAdapters.remove(order.adapter())) {
                        resident.adapters.add(order.adapter());
                    }
                    changed();
                }));
        return Reply.ACCEPTED;
    }

    /**
     * Unloads an adapter.
     *
     * @param order the order
     * @return the answer
     */
    private Reply unloadAdapter(Order order) {
        find(order).ifPresent(resident -> {
            resident.adapters.remove(order.adapter());
            resident.loadingAdapters.remove(order.adapter());
            changed();
        });
        return Reply.ACCEPTED;
    }

    /**
     * Finds the model version that an order names, on any accelerator if the order names none.
     *
     * @param order the order
     * @return the model version, unless it is being unloaded
     */
    private Optional<Resident> find(Order order) {
        return residents.stream()
                .filter(resident -> resident.is(order.model(), order.version()))
                .filter(resident -> order.accelerator().isEmpty() || resident.accelerator.equals(order.accelerator()))
                .findFirst();
    }

    /**
     * Tells whether an accelerator has room.
     *
     * @param accelerator the accelerator's name
     * @param bytes the memory needed, in bytes
     * @return {@code true} if there is room
     */
    private boolean fits(String accelerator, long bytes) {
        return options.memory().accelerators().stream()
                .filter(candidate -> candidate.name().equals(accelerator))
                .anyMatch(candidate -> usedBytes(accelerator) + bytes <= candidate.memoryBytes());
    }

    /**
     * Returns the memory in use on an accelerator.
     *
     * @param accelerator the accelerator's name
     * @return the memory in bytes
     */
    private long usedBytes(String accelerator) {
        return residents.stream()
                .filter(resident -> resident.accelerator.equals(accelerator))
                .mapToLong(resident -> resident.totalBytes(options.memory().adapterBytes()))
                .sum();
    }

    /** Tells of a change unless this incarnation has ended. */
    private void changed() {
        if (!ended) {
            changed.run();
        }
    }

    /**
     * Finds a model version, with its adapter if one is named, that can be used now.
     *
     * @param model the model's name
     * @param version the model's version
     * @param adapter the adapter's name, empty for none
     * @return the model version
     */
    Optional<Resident> usable(String model, String version, String adapter) {
        return residents.stream()
                .filter(resident -> resident.ready && resident.is(model, version))
                .filter(resident -> adapter.isEmpty() || resident.adapters.contains(adapter))
                .findFirst();
    }

    /**
     * Returns the models that can be used now.
     *
     * @return the models
     */
    List<LoadedModel> loaded() {
        return residents.stream()
                .filter(resident -> resident.ready)
                .map(Resident::loaded)
                .toList();
    }

    /** Ends this incarnation: timers that are still set have no effect any more. */
    void end() {
        ended = true;
    }

    /**
     * Returns the highest fencing number accepted.
     *
     * @return the number
     */
    long highestFencing() {
        return highestFencing;
    }

    /**
     * Returns how many orders would have exceeded an accelerator's memory.
     *
     * @return the count
     */
    long overcommits() {
        return overcommits;
    }

    /**
     * Returns how many models were loaded.
     *
     * @return the count
     */
    long loads() {
        return loads;
    }

    /**
     * Returns the parts of {@code GET /v1/state} that concern memory and orders.
     *
     * @return the JSON object
     */
    JsonObject json() {
        JsonArray accelerators = new JsonArray();
        for (Accelerator accelerator : options.memory().accelerators()) {
            accelerators.add(new JsonObject()
                    .put("name", accelerator.name())
                    .put("memory_bytes", accelerator.memoryBytes())
                    .put("used_bytes", usedBytes(accelerator.name())));
        }
        JsonArray models = new JsonArray();
        residents.forEach(resident -> models.add(resident.json()));
        return new JsonObject()
                .put("highest_fencing", highestFencing)
                .put("accelerators", accelerators)
                .put("models", models)
                .put("pending_orders", new JsonArray(new ArrayList<>(pending)));
    }
}
