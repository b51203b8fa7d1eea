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

/**
 * Emulates the timing of model engines in virtual time: batches, prefill, decode, memory and loads. An order that
 * exceeds the memory of an accelerator fails. Not thread safe.
 */
final class EngineEmulator {

    /** Maximum number of requests in a batch. */
    static final int BATCH_LIMIT = 16;

    private static final long MEMORY_BYTES = 80_000_000_000L;

    /** Fixed part of the duration of a decoding step. */
    private static final double BASE_STEP_NANOS = 12_000_000;

    /** Part of the duration of a decoding step for each request in the batch. */
    private static final double STEP_NANOS_PER_REQUEST = 900_000;

    private static final double PREFILL_TOKENS_PER_SECOND = 8_000;

    /** Load time without slowdown by parallel loads. */
    private static final double LOAD_NANOS_PER_BYTE = 0.4;

    /** Minimum time until an unload frees the memory, and the interval of the check for remaining requests. */
    private static final long UNLOAD_NANOS = 200_000_000L;

    /** Interval of load reports; reported loads are up to this old. */
    private static final long REPORT_INTERVAL_NANOS = 500_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final VirtualTime time;

    private final Configuration configuration;

    private final Deployment deployment;

    private final Random random;

    private final List<Engine> engines = new ArrayList<>();

    /** Rebuilt when the models in memory or the load reports change. */
    private List<BackendServer> announcements = List.of();

    private int modelLoadsInProgress;

    private int adapterLoadsInProgress;

    /** Number of model loads started. */
    private int modelLoadCount;

    /** An engine with one accelerator. Not thread safe. */
    static final class Engine {

        final BackendServerName name;

        final AvailabilityZone zone;

        /** Copies by model name, including those that are being loaded or unloaded. */
        private final Map<String, LoadedCopy> copies = new HashMap<>();

        /** Starts of the requests that wait for a place in the batch, in order of arrival. */
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

        private int running;

        /** Requests in flight at the last load report. */
        private int reportedRequests;

        /** Memory of all copies and adapters, including those that are being loaded. */
        private long allocatedBytes;

        Engine(int index) {
            name = new BackendServerName("engine-" + index);
            zone = new AvailabilityZone("zone-" + index % 3);
        }

        /** Returns the number of requests in the batch and in the queue. */
        int requestsInFlight() {
            return running + waiting.size();
        }
    }

    /** A copy of a model on an engine. */
    private static final class LoadedCopy {

        private final Set<String> adapters = new HashSet<>();

        private final Set<String> loadingAdapters = new HashSet<>();

        private Status status = Status.LOADING;

        /** Requests that run or wait on this copy; it is not removed while there are any. */
        private int requestCount;
    }

    /**
     * Creates engines with an even placement. Models are placed in descending order of size, each onto the engine with
     * the most free memory, in two rounds: every model gets two copies where memory allows.
     *
     * @param trace the trace with the deployment and its models
     * @param random the source of the load times of adapters
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
        updateReports();
    }

    /** Places a copy together with all adapters of the model. */
    private void placeEvenly(Model model) {
        List<Adapter> adapters = configuration.adapters().values().stream()
                .filter(adapter -> adapter.model().equals(model.name()))
                .toList();
        long bytes = model.memoryBytes()
                + adapters.stream().mapToLong(Adapter::memoryBytes).sum();
        engines.stream()
                .filter(engine -> !engine.copies.containsKey(model.name()))
                .filter(engine -> engine.allocatedBytes + bytes <= MEMORY_BYTES)
                .min(Comparator.comparingLong(engine -> engine.allocatedBytes))
                .ifPresent(engine -> {
                    LoadedCopy copy = new LoadedCopy();
                    copy.status = Status.SERVING;
                    adapters.forEach(adapter -> copy.adapters.add(adapter.name()));
                    engine.copies.put(model.name(), copy);
                    engine.allocatedBytes += bytes;
                });
    }

    private void updateReports() {
        engines.forEach(engine -> engine.reportedRequests = engine.requestsInFlight());
        rebuildAnnouncements();
        time.schedule(REPORT_INTERVAL_NANOS, this::updateReports);
    }

    private void rebuildAnnouncements() {
        announcements = engines.stream().map(EngineEmulator::announcement).toList();
    }

    private static BackendServer announcement(Engine engine) {
        List<LoadedModel> models = engine.copies.entrySet().stream()
                .filter(copy -> copy.getValue().status == Status.SERVING)
                .map(copy -> new LoadedModel(copy.getKey(), "1", "0", copy.getValue().adapters))
                .toList();
        double tokensPerSecond = NANOS_PER_SECOND / stepNanos(BATCH_LIMIT);
        int running = Math.min(BATCH_LIMIT, engine.reportedRequests);
        LoadReport load = new LoadReport(
                running, engine.reportedRequests - running, BATCH_LIMIT, tokensPerSecond, PREFILL_TOKENS_PER_SECOND);
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

    /** Returns the duration in nanoseconds of a decoding step, which generates one token of each request. */
    private static double stepNanos(int batch) {
        return BASE_STEP_NANOS + STEP_NANOS_PER_REQUEST * batch;
    }

    /** Returns the current announcements, whose load reports lag behind. */
    List<BackendServer> announcements() {
        return announcements;
    }

    List<Engine> engines() {
        return engines;
    }

    /**
     * Returns the engines that accept a request for a model.
     *
     * @param adapter the adapter that has to be loaded, too; empty for none
     */
    List<Engine> enginesServing(String model, String adapter) {
        return engines.stream().filter(engine -> serves(engine, model, adapter)).toList();
    }

    private static boolean serves(Engine engine, String model, String adapter) {
        LoadedCopy copy = engine.copies.get(model);
        return copy != null && copy.status == Status.SERVING && (adapter.isEmpty() || copy.adapters.contains(adapter));
    }

    Engine engine(BackendServerName name) {
        return engines.stream()
                .filter(engine -> engine.name.equals(name))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Runs a request, or queues it if the batch is full. The model must be in the engine's memory.
     *
     * @param completion called when the answer is complete
     */
    void run(Engine engine, Arrival arrival, Runnable completion) {
        engine.copies.get(arrival.model()).requestCount++;
        if (engine.running >= BATCH_LIMIT) {
            engine.waiting.addLast(() -> start(engine, arrival, completion));
        } else {
            start(engine, arrival, completion);
        }
    }

    /** The decode time follows from the batch size at the start; later changes of the batch do not affect it. */
    private void start(Engine engine, Arrival arrival, Runnable completion) {
        engine.running++;
        double prefillNanos = arrival.promptTokens() / PREFILL_TOKENS_PER_SECOND * NANOS_PER_SECOND;
        double decodeNanos = arrival.outputTokens() * stepNanos(engine.running);
        time.schedule((long) (prefillNanos + decodeNanos), () -> {
            engine.running--;
            engine.copies.get(arrival.model()).requestCount--;
            if (!engine.waiting.isEmpty()) {
                engine.waiting.pollFirst().run();
            }
            completion.run();
        });
    }

    /** Returns the accelerators as input for the planner. */
    List<AcceleratorView> acceleratorViews() {
        return engines.stream()
                .map(engine -> {
                    List<CopyView> copies = engine.copies.entrySet().stream()
                            .map(copy -> new CopyView(
                                    new ModelVersionId(copy.getKey(), "1"),
                                    copy.getValue().status,
                                    copy.getValue().adapters,
                                    copy.getValue().loadingAdapters))
                            .toList();
                    double power = BATCH_LIMIT * NANOS_PER_SECOND / stepNanos(BATCH_LIMIT);
                    long freeBytes = MEMORY_BYTES - engine.allocatedBytes;
                    return new AcceleratorView(engine.name, engine.zone, "0", freeBytes, power, copies);
                })
                .toList();
    }

    /** Executes a placement order in virtual time. */
    void execute(PlannedOrder order) {
        Engine engine = engine(order.server());
        LoadedCopy copy = engine.copies.get(order.modelVersion().model());
        switch (order.action()) {
            case LOAD -> load(engine, order);
            case UNLOAD -> unload(engine, order.modelVersion().model(), copy);
            case LOAD_ADAPTER -> loadAdapter(engine, copy, order);
            default -> copy.adapters.remove(order.adapter());
        }
        rebuildAnnouncements();
    }

    /** Loads slow down in proportion to the number of loads in progress beyond the parallel limit. */
    private void load(Engine engine, PlannedOrder order) {
        LoadedCopy copy = new LoadedCopy();
        engine.copies.put(order.modelVersion().model(), copy);
        allocate(engine, order.memoryBytes());
        modelLoadsInProgress++;
        modelLoadCount++;
        double slowdown = Math.max(1.0, (double) modelLoadsInProgress / deployment.parallelModelLoads());
        time.schedule((long) (order.memoryBytes() * LOAD_NANOS_PER_BYTE * slowdown), () -> {
            modelLoadsInProgress--;
            copy.status = Status.SERVING;
            rebuildAnnouncements();
        });
    }

    /** The copy accepts no new requests; its memory is freed once its last request has ended. */
    private void unload(Engine engine, String model, LoadedCopy copy) {
        copy.status = Status.LEAVING;
        time.schedule(UNLOAD_NANOS, () -> {
            if (copy.requestCount > 0) {
                unload(engine, model, copy);
                return;
            }
            engine.copies.remove(model);
            long adapterBytes = copy.adapters.stream()
                    .mapToLong(name -> configuration.adapters().get(name).memoryBytes())
                    .sum();
            engine.allocatedBytes -= configuration.models().get(model).memoryBytes() + adapterBytes;
        });
    }

    private void loadAdapter(Engine engine, LoadedCopy copy, PlannedOrder order) {
        copy.loadingAdapters.add(order.adapter());
        allocate(engine, order.memoryBytes());
        adapterLoadsInProgress++;
        double slowdown = Math.max(1.0, (double) adapterLoadsInProgress / deployment.parallelAdapterLoads());
        long fastNanos = (5 + random.nextInt(16)) * 1_000_000L;
        time.schedule((long) (fastNanos * slowdown), () -> {
            adapterLoadsInProgress--;
            copy.loadingAdapters.remove(order.adapter());
            copy.adapters.add(order.adapter());
            rebuildAnnouncements();
        });
    }

    /** Fails if the planner overcommits the accelerator. */
    private static void allocate(Engine engine, long bytes) {
        engine.allocatedBytes += bytes;
        if (engine.allocatedBytes > MEMORY_BYTES) {
            throw new IllegalStateException("Order exceeds the accelerator memory of " + engine.name);
        }
    }

    /** Returns the number of model loads in progress. */
    int modelLoadsInProgress() {
        return modelLoadsInProgress;
    }

    /** Returns the number of adapter loads in progress. */
    int adapterLoadsInProgress() {
        return adapterLoadsInProgress;
    }

    /** Returns the number of model loads started. */
    int modelLoadCount() {
        return modelLoadCount;
    }
}
