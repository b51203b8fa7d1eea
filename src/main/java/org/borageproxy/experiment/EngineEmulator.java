package org.borageproxy.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.borageproxy.membership.Accelerator;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.LoadReport;
import org.borageproxy.membership.LoadedModel;
import org.borageproxy.placement.AcceleratorView;
import org.borageproxy.placement.CopyView;
import org.borageproxy.placement.CopyView.Status;
import org.borageproxy.placement.ModelVersionId;
import org.borageproxy.placement.PlannedOrder;
import org.borageproxy.tree.Adapter;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Model;
import org.borageproxy.vm.AvailabilityZone;

/** Emulates the timing of engines: batches, prefill, decode, memory and loads. Not thread safe. */
final class EngineEmulator {

    /** The requests in a full batch. */
    static final int BATCH_LIMIT = 16;

    /** The memory of an accelerator in bytes. */
    private static final long MEMORY_BYTES = 80_000_000_000L;

    /** The time of a decoding step with one request, in nanoseconds. */
    private static final double STEP_NANOS = 12_000_000;

    /** What each further request adds to a decoding step, in nanoseconds. */
    private static final double STEP_PER_REQUEST_NANOS = 900_000;

    /** Prompt tokens processed each second. */
    private static final double PREFILL_TOKENS_PER_SECOND = 8_000;

    /** The time to load a model at full speed, for each byte, in nanoseconds. */
    private static final double LOAD_NANOS_PER_BYTE = 0.4;

    /** The time in which the memory of an unloaded model becomes free, in nanoseconds. */
    private static final long UNLOAD_NANOS = 200_000_000L;

    /** The lag of load reports in nanoseconds. */
    private static final long REPORT_NANOS = 500_000_000L;

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The virtual time. */
    private final VirtualTime time;

    /** The models and adapters. */
    private final Configuration configuration;

    /** The deployment's limits. */
    private final Deployment deployment;

    /** The source of randomness. */
    private final Random random;

    /** The engines. */
    private final List<Engine> engines = new ArrayList<>();

    /** The announcements of the engines, made anew when placement or reports change. */
    private List<BackendServer> announcements = List.of();

    /** The loads of models in flight. */
    private int modelLoads;

    /** The loads of adapters in flight. */
    private int adapterLoads;

    /** The orders of models that were carried out. */
    private int moves;

    /** An engine with one accelerator. */
    static final class Engine {

        /** Its name. */
        final BackendServerName name;

        /** Its availability zone. */
        final AvailabilityZone zone;

        /** The copies in memory by model. */
        private final Map<String, Copy> copies = new HashMap<>();

        /** The requests that wait in the engine. */
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

        /** The requests in the batch. */
        private int running;

        /** The requests in the batch as reported last. */
        private int reported;

        /** The memory that may be in use. */
        private long usedBytes;

        /**
         * Creates an engine.
         *
         * @param index its number
         */
        Engine(int index) {
            name = new BackendServerName("engine-" + index);
            zone = new AvailabilityZone("zone-" + index % 3);
        }

        /**
         * Returns the requests that the engine has.
         *
         * @return the number
         */
        int inFlight() {
            return running + waiting.size();
        }
    }

    /** A copy of a model. */
    private static final class Copy {

        /** The adapters that can be used. */
        private final Set<String> adapters = new HashSet<>();

        /** The adapters being loaded. */
        private final Set<String> loading = new HashSet<>();

        /** Whether it serves. */
        private Status status = Status.LOADING;

        /** The requests that use it. */
        private int users;
    }

    /**
     * Creates engines with an even placement: model after model onto the engine with the most free memory, until each
     * has two copies where memory allows.
     *
     * @param trace the trace, which names the models
     * @param time the virtual time
     * @param random the source of randomness
     */
    EngineEmulator(Trace trace, VirtualTime time, Random random) {
        this.time = time;
        this.configuration = trace.configuration();
        this.deployment = trace.deployment();
        this.random = random;
        for (int index = 0; index < deployment.replicas(); index++) {
            engines.add(new Engine(index));
        }
        for (int round = 0; round < 2; round++) {
            configuration.models().values().stream()
                    .sorted(Comparator.comparingLong((Model model) -> -model.memoryBytes())
                            .thenComparing(Model::name))
                    .forEach(this::placeEvenly);
        }
        report();
    }

    /**
     * Places a copy of a model on the engine with the most free memory.
     *
     * @param model the model
     */
    private void placeEvenly(Model model) {
        List<Adapter> adapters = configuration.adapters().values().stream()
                .filter(adapter -> adapter.model().equals(model.name()))
                .toList();
        long bytes = model.memoryBytes()
                + adapters.stream().mapToLong(Adapter::memoryBytes).sum();
        engines.stream()
                .filter(engine -> !engine.copies.containsKey(model.name()))
                .filter(engine -> engine.usedBytes + bytes <= MEMORY_BYTES)
                .min(Comparator.comparingLong(engine -> engine.usedBytes))
                .ifPresent(engine -> {
                    Copy copy = new Copy();
                    copy.status = Status.SERVING;
                    adapters.forEach(adapter -> copy.adapters.add(adapter.name()));
                    engine.copies.put(model.name(), copy);
                    engine.usedBytes += bytes;
                });
    }

    /** Brings the load reports up to date, again and again. */
    private void report() {
        engines.forEach(engine -> engine.reported = engine.inFlight());
        refresh();
        time.after(REPORT_NANOS, this::report);
    }

    /** Makes the announcements anew. */
    private void refresh() {
        announcements = engines.stream().map(EngineEmulator::announcement).toList();
    }

    /**
     * Returns the announcement of an engine.
     *
     * @param engine the engine
     * @return the announcement
     */
    private static BackendServer announcement(Engine engine) {
        List<LoadedModel> models = engine.copies.entrySet().stream()
                .filter(copy -> copy.getValue().status == Status.SERVING)
                .map(copy -> new LoadedModel(copy.getKey(), "1", "0", copy.getValue().adapters))
                .toList();
        double tokensPerSecond = NANOS_PER_SECOND / stepNanos(BATCH_LIMIT);
        int running = Math.min(BATCH_LIMIT, engine.reported);
        LoadReport load = new LoadReport(
                running, engine.reported - running, BATCH_LIMIT, tokensPerSecond, PREFILL_TOKENS_PER_SECOND);
        return new BackendServer(
                engine.name,
                1,
                1,
                BackendServerKind.ENGINE,
                BackendServerState.ALIVE,
                engine.zone,
                "127.0.0.1",
                1,
                true,
                Set.of(),
                List.of(new Accelerator("0", MEMORY_BYTES)),
                models,
                load);
    }

    /**
     * Returns the time of a decoding step.
     *
     * @param batch the requests in the batch
     * @return nanoseconds
     */
    private static double stepNanos(int batch) {
        return STEP_NANOS + STEP_PER_REQUEST_NANOS * batch;
    }

    /**
     * Returns what the engines announced last.
     *
     * @return the announcements
     */
    List<BackendServer> announcements() {
        return announcements;
    }

    /**
     * Returns the engines.
     *
     * @return the engines
     */
    List<Engine> engines() {
        return engines;
    }

    /**
     * Returns the engines that can run a request now.
     *
     * @param model the model
     * @param adapter the adapter, empty for none
     * @return the engines
     */
    List<Engine> serving(String model, String adapter) {
        return engines.stream().filter(engine -> serves(engine, model, adapter)).toList();
    }

    /**
     * Tells whether an engine can run a request now.
     *
     * @param engine the engine
     * @param model the model
     * @param adapter the adapter, empty for none
     * @return {@code true} if it can
     */
    private static boolean serves(Engine engine, String model, String adapter) {
        Copy copy = engine.copies.get(model);
        return copy != null && copy.status == Status.SERVING && (adapter.isEmpty() || copy.adapters.contains(adapter));
    }

    /**
     * Returns an engine by its name.
     *
     * @param name the name
     * @return the engine
     */
    Engine engine(BackendServerName name) {
        return engines.stream()
                .filter(engine -> engine.name.equals(name))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Runs a request.
     *
     * @param engine the engine
     * @param arrival the request
     * @param completion runs when its answer is complete
     */
    void run(Engine engine, Arrival arrival, Runnable completion) {
        engine.copies.get(arrival.model()).users++;
        if (engine.running >= BATCH_LIMIT) {
            engine.waiting.addLast(() -> start(engine, arrival, completion));
        } else {
            start(engine, arrival, completion);
        }
    }

    /**
     * Starts a request in the batch.
     *
     * @param engine the engine
     * @param arrival the request
     * @param completion runs when its answer is complete
     */
    private void start(Engine engine, Arrival arrival, Runnable completion) {
        engine.running++;
        double prefillNanos = arrival.promptTokens() / PREFILL_TOKENS_PER_SECOND * NANOS_PER_SECOND;
        double decodeNanos = arrival.outputTokens() * stepNanos(engine.running);
        time.after((long) (prefillNanos + decodeNanos), () -> {
            engine.running--;
            engine.copies.get(arrival.model()).users--;
            if (!engine.waiting.isEmpty()) {
                engine.waiting.pollFirst().run();
            }
            completion.run();
        });
    }

    /**
     * Returns what a planner sees.
     *
     * @return the accelerators
     */
    List<AcceleratorView> views() {
        return engines.stream()
                .map(engine -> {
                    List<CopyView> copies = engine.copies.entrySet().stream()
                            .map(copy -> new CopyView(
                                    new ModelVersionId(copy.getKey(), "1"),
                                    copy.getValue().status,
                                    copy.getValue().adapters,
                                    copy.getValue().loading))
                            .toList();
                    double power = BATCH_LIMIT * NANOS_PER_SECOND / stepNanos(BATCH_LIMIT);
                    long freeBytes = MEMORY_BYTES - engine.usedBytes;
                    return new AcceleratorView(engine.name, engine.zone, "0", freeBytes, power, copies);
                })
                .toList();
    }

    /**
     * Carries out an order.
     *
     * @param order the order
     */
    void order(PlannedOrder order) {
        Engine engine = engine(order.server());
        Copy copy = engine.copies.get(order.modelVersion().model());
        switch (order.action()) {
            case LOAD -> load(engine, order);
            case UNLOAD -> unload(engine, order.modelVersion().model(), copy);
            case LOAD_ADAPTER -> loadAdapter(engine, copy, order);
            default -> copy.adapters.remove(order.adapter());
        }
        refresh();
    }

    /**
     * Loads a model.
     *
     * @param engine the engine
     * @param order the order
     */
    private void load(Engine engine, PlannedOrder order) {
        Copy copy = new Copy();
        engine.copies.put(order.modelVersion().model(), copy);
        take(engine, order.memoryBytes());
        modelLoads++;
        moves++;
        double slowdown = Math.max(1.0, (double) modelLoads / deployment.parallelModelLoads());
        time.after((long) (order.memoryBytes() * LOAD_NANOS_PER_BYTE * slowdown), () -> {
            modelLoads--;
            copy.status = Status.SERVING;
            refresh();
        });
    }

    /**
     * Unloads a model once its last request has ended.
     *
     * @param engine the engine
     * @param model the model
     * @param copy the copy
     */
    private void unload(Engine engine, String model, Copy copy) {
        copy.status = Status.LEAVING;
        time.after(UNLOAD_NANOS, () -> {
            if (copy.users > 0) {
                unload(engine, model, copy);
                return;
            }
            engine.copies.remove(model);
            long adapterBytes = copy.adapters.stream()
                    .mapToLong(name -> configuration.adapters().get(name).memoryBytes())
                    .sum();
            engine.usedBytes -= configuration.models().get(model).memoryBytes() + adapterBytes;
        });
    }

    /**
     * Loads an adapter.
     *
     * @param engine the engine
     * @param copy the copy of its model
     * @param order the order
     */
    private void loadAdapter(Engine engine, Copy copy, PlannedOrder order) {
        copy.loading.add(order.adapter());
        take(engine, order.memoryBytes());
        adapterLoads++;
        double slowdown = Math.max(1.0, (double) adapterLoads / deployment.parallelAdapterLoads());
        long fastNanos = (5 + random.nextInt(16)) * 1_000_000L;
        time.after((long) (fastNanos * slowdown), () -> {
            adapterLoads--;
            copy.loading.remove(order.adapter());
            copy.adapters.add(order.adapter());
            refresh();
        });
    }

    /**
     * Takes memory of an accelerator.
     *
     * @param engine the engine
     * @param bytes the memory
     */
    private static void take(Engine engine, long bytes) {
        engine.usedBytes += bytes;
        if (engine.usedBytes > MEMORY_BYTES) {
            throw new IllegalStateException("Accelerator memory is overcommitted on " + engine.name);
        }
    }

    /**
     * Returns the loads of models in flight.
     *
     * @return the number
     */
    int modelLoads() {
        return modelLoads;
    }

    /**
     * Returns the loads of adapters in flight.
     *
     * @return the number
     */
    int adapterLoads() {
        return adapterLoads;
    }

    /**
     * Returns the models that were loaded.
     *
     * @return the number
     */
    int moves() {
        return moves;
    }
}
