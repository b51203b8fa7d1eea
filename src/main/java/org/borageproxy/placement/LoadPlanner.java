package org.borageproxy.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.publication.EnginePool;

/**
 * Plans which model an engine loads or unloads next. Models for which room is already being made on an engine come
 * first, then models without a replica that have waiting requests, then models whose engines have much more work than
 * the average. A model with waiting requests is unloaded only for one that is overdue. The last replica of a model is
 * unloaded only for the first one of a model that requests claim, of higher priority, and overdue or in at least as
 * much demand. Work is measured in engine-seconds per second of an engine of the speed one, so that 1 is a fully used
 * engine.
 *
 * <p>Reads the engines but doesn't change them. Not thread safe, since the engines aren't.
 */
final class LoadPlanner {

    /** A model gets another replica if even the least loaded of its engines exceeds the mean work by this factor. */
    private static final double OVERLOAD_FACTOR = 1.35;
    /** Replaces the overload factor while an engine is empty, since nothing has to be unloaded there. */
    private static final double EMPTY_ENGINE_FACTOR = 1.0;
    /** Work up to which an engine doesn't count as overloaded, whatever the mean is. */
    private static final double MIN_OVERLOAD_WORK = 0.12;
    /** Least reduction of work, net of losses, that justifies another replica. */
    private static final double MIN_GAIN = 0.04;
    /** Fraction of the work of a replica that the other replicas of the model can't take over without loss. */
    private static final double UNLOAD_LOSS_SHARE = 0.6;
    /** Loss, as work, from any unload, so that free room is used first. */
    private static final double MIN_UNLOAD_LOSS = 0.01;
    /** Loss, as work, from unloading the last replica of a model that has demand. */
    private static final double LAST_REPLICA_LOSS = 0.3;
    /**
     * Loss, as work, from unloading the last replica of a model without demand. Demand shifts faster than a model
     * loads.
     */
    private static final double IDLE_LAST_REPLICA_LOSS = 0.15;
    /** Cost, as work, of each second that the load of a model takes. */
    private static final double LOAD_COST_PER_SECOND = 0.05;
    /**
     * Weight of the work of models with adapters in the cost of each second of a load; an engine loads no adapters
     * while it loads a model.
     */
    private static final double ADAPTER_BLOCKING_COST = 0.3;
    /** Cost of each second of a load if no engine has the model, since its callers are rejected until it is loaded. */
    private static final double URGENT_LOAD_COST_PER_SECOND = 0.5;
    /** Time for which the demand stays about the same. */
    private static final double DEMAND_HORIZON_SECONDS = 14.0;

    private static final double MIN_SERVING_FRACTION = 0.15;
    /** Fraction of the engines that carry out no order while room is made for requests that were refused. */
    private static final double MIN_FREE_SHARE = 0.8;
    /** Nominal number of prompt and output tokens that an engine serves per second. */
    private static final double TOKENS_PER_SECOND = 12_000.0;

    /** Requested tokens per second up to which a model counts as idle. */
    private static final double IDLE_TOKENS_PER_SECOND = 1.0;

    private final EnginePool pool;
    private final Collection<TrackedEngine> engines;
    private final Map<String, Demand> demands;
    private final ToDoubleFunction<BackendServer> speeds;
    /** The engines do not change while a step is planned. */
    private final Map<String, Integer> replicaCounts = new HashMap<>();

    private final Map<String, Integer> loadedCounts = new HashMap<>();
    private final double largestAdapterMegabytes;

    private Optional<Map<TrackedEngine, Double>> work = Optional.empty();

    /**
     * The demand for a model.
     *
     * @param tokensPerSecond the requested prompt and output tokens per second
     * @param waitingRequests the number of requests that wait for the model
     * @param waitingSinceNanos the time on the monotonic clock since which requests have not been served because no
     *     engine has the model, or {@link #NOT_WAITING}; they may have been refused meanwhile
     * @param isCopyLost whether the last copy was lost with its engine and has to be replaced
     * @param priority the requests that were not served, weighted by their age; zero if there are none
     * @param isOverdue whether requests have not been served for so long that models in more demand give way
     * @param isKept whether its last copy stays, since it was loaded lately
     */
    record Demand(
            double tokensPerSecond,
            int waitingRequests,
            long waitingSinceNanos,
            boolean isCopyLost,
            double priority,
            boolean isOverdue,
            boolean isKept) {

        static final long NOT_WAITING = Long.MAX_VALUE;

        static final Demand NONE = new Demand(0, 0);

        /** Creates the demand for a model that engines have had all the time. */
        Demand(double tokensPerSecond, int waitingRequests) {
            this(tokensPerSecond, waitingRequests, NOT_WAITING, false);
        }

        /** Creates the demand for a model without a claim that is not kept. */
        Demand(double tokensPerSecond, int waitingRequests, long waitingSinceNanos, boolean isCopyLost) {
            this(tokensPerSecond, waitingRequests, waitingSinceNanos, isCopyLost, 0, false, false);
        }

        /** Returns whether requests wait or were refused and not served since. */
        boolean isClaimed() {
            return waitingRequests > 0 || waitingSinceNanos != NOT_WAITING;
        }

        /** Returns whether all requests were refused and not enough of them are known to come back. */
        boolean isForRefusedOnly() {
            return isClaimed() && waitingRequests == 0 && !isOverdue;
        }
    }

    /** A load or unload of a model that an engine should do next. */
    sealed interface Step {

        /**
         * Returns the engine that executes the step.
         *
         * @return the engine
         */
        TrackedEngine engine();

        /**
         * Loads a model.
         *
         * @param engine the engine
         * @param model the model
         */
        record Load(TrackedEngine engine, String model) implements Step {}

        /**
         * Unloads a model to make room for another one.
         *
         * @param engine the engine
         * @param model the model to unload
         * @param successor the model that needs the room
         */
        record Unload(TrackedEngine engine, String model, String successor) implements Step {}
    }

    /** Creates a planner for engines of equal speed. */
    LoadPlanner(EnginePool pool, Collection<TrackedEngine> engines, Map<String, Demand> demands) {
        this(pool, engines, demands, server -> 1.0);
    }

    /**
     * Creates a planner.
     *
     * @param pool the pool of the engines
     * @param engines the engines
     * @param demands the demand by model
     * @param speeds returns the speed of an engine; 1 is the median of its peers
     */
    LoadPlanner(
            EnginePool pool,
            Collection<TrackedEngine> engines,
            Map<String, Demand> demands,
            ToDoubleFunction<BackendServer> speeds) {
        this.pool = pool;
        this.engines = engines;
        this.demands = demands;
        this.speeds = speeds;
        this.largestAdapterMegabytes = largestAdapterMegabytes(pool);
    }

    /**
     * Returns the next step.
     *
     * @param mayUseStore whether a load from the weight store may start now
     * @return the step, or empty if no step is worthwhile or possible
     */
    Optional<Step> nextStep(boolean mayUseStore) {
        for (TrackedEngine engine : engines) {
            String successor = engine.successorModel();
            boolean isPublished = pool.models().containsKey(successor);
            if (engine.acceptsOrders() && isPublished && (mayUseStore || engine.hasLocalWeights(successor))) {
                Optional<Step> step = loadOrUnload(engine, successor);
                if (step.isPresent()) {
                    return step;
                }
            }
        }
        for (String model : unservedModels()) {
            Optional<Step> step = planReplica(model, mayUseStore, Double.MAX_VALUE);
            if (step.isPresent()) {
                return step;
            }
        }
        return planForOverload(mayUseStore);
    }

    /**
     * Returns the models to load that no engine has or expects: those with claims by priority, then lost copies. Of
     * models with equal priority an empty engine gets the one whose requests have waited longest, and room that has to
     * be made is for the one with the most waiting requests.
     */
    private List<String> unservedModels() {
        Comparator<Map.Entry<String, Demand>> byWaitingRequests =
                Comparator.comparingInt(entry -> -entry.getValue().waitingRequests());
        Comparator<Map.Entry<String, Demand>> byWaitingTime =
                Comparator.comparingLong(entry -> entry.getValue().waitingSinceNanos());
        Comparator<Map.Entry<String, Demand>> order = engines.stream().anyMatch(LoadPlanner::isEmpty)
                ? byWaitingTime.thenComparing(byWaitingRequests)
                : byWaitingRequests.thenComparing(byWaitingTime);
        Comparator<Map.Entry<String, Demand>> byPriority =
                Comparator.comparingDouble(entry -> -entry.getValue().priority());
        Comparator<Map.Entry<String, Demand>> waitingFirst =
                Comparator.comparing(entry -> entry.getValue().waitingRequests() == 0);
        Comparator<Map.Entry<String, Demand>> claimedFirst =
                Comparator.comparing(entry -> !entry.getValue().isClaimed());
        return demands.entrySet().stream()
                .filter(entry ->
                        entry.getValue().isClaimed() || entry.getValue().isCopyLost())
                .filter(entry -> pool.models().containsKey(entry.getKey()) && replicas(entry.getKey()) == 0)
                .sorted(byPriority
                        .thenComparing(waitingFirst)
                        .thenComparing(claimedFirst)
                        .thenComparing(order)
                        .thenComparingDouble(entry -> -entry.getValue().tokensPerSecond()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns why no step can be planned now for a model that no engine has or expects.
     *
     * @param model the model, which is published
     * @param mayUseStore whether a load from the weight store may start now
     * @return the first obstacle that holds for all engines, as a word for log lines
     */
    String obstacle(String model, boolean mayUseStore) {
        List<TrackedEngine> accepting = engines.stream()
                .filter(engine ->
                        engine.acceptsOrders() && engine.successorModel().isEmpty())
                .toList();
        if (accepting.isEmpty()) {
            return engines.isEmpty() ? "no-engine" : "engines-busy";
        }
        List<TrackedEngine> sources = accepting.stream()
                .filter(engine -> mayUseStore || engine.hasLocalWeights(model))
                .toList();
        if (sources.isEmpty()) {
            return "store-rate";
        }
        boolean hasRoom =
                sources.stream().anyMatch(engine -> loadOrUnload(engine, model).isPresent());
        return hasRoom ? "no-request-waits" : "no-room";
    }

    /**
     * Returns whether the room that was being made on an engine is not enough and nothing else may be unloaded for it.
     *
     * @param engine the engine
     * @return {@code true} if the model for which room was made does not fit; it should be loaded elsewhere
     */
    boolean isBlocked(TrackedEngine engine) {
        return engine.acceptsOrders()
                && pool.models().containsKey(engine.successorModel())
                && loadOrUnload(engine, engine.successorModel()).isEmpty();
    }

    private static boolean isEmpty(TrackedEngine engine) {
        return engine.acceptsOrders()
                && engine.loadedModels().isEmpty()
                && engine.successorModel().isEmpty();
    }

    private Optional<Step> planForOverload(boolean mayUseStore) {
        Map<TrackedEngine, Double> work = workByEngine();
        double mean = work.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
        double factor = engines.stream().anyMatch(LoadPlanner::isEmpty) ? EMPTY_ENGINE_FACTOR : OVERLOAD_FACTOR;
        return demands.entrySet().stream()
                .filter(entry -> replicas(entry.getKey()) > 0 && pool.models().containsKey(entry.getKey()))
                .filter(entry -> leastWorkOf(entry.getKey(), work) > Math.max(MIN_OVERLOAD_WORK, mean * factor))
                .sorted(Comparator.comparingDouble(
                        (Map.Entry<String, Demand> entry) -> -workPerReplica(entry.getKey(), replicas(entry.getKey()))))
                .map(entry -> planReplica(entry.getKey(), mayUseStore, leastWorkOf(entry.getKey(), work)))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Requests go to the least loaded engine of a model first, so its work decides whether the model is overloaded. */
    private double leastWorkOf(String model, Map<TrackedEngine, Double> work) {
        return engines.stream()
                .filter(engine -> engine.hasOrExpects(model))
                .mapToDouble(work::get)
                .min()
                .orElse(0);
    }

    private Optional<Step> planReplica(String model, boolean mayUseStore, double leastWork) {
        boolean isUnserved = replicas(model) == 0;
        Map<TrackedEngine, Double> work = workByEngine();
        double sharedWork = workPerReplica(model, replicas(model) + 1);
        Optional<Step> best = Optional.empty();
        double bestCost = Double.MAX_VALUE;
        boolean areAllLimiting = engines.stream().allMatch(TrackedEngine::isLimiting);
        boolean mayMakeRoom = mayMakeRoomFor(demands.getOrDefault(model, Demand.NONE));
        for (TrackedEngine engine : engines) {
            boolean isCandidate = engine.acceptsOrders()
                    && engine.successorModel().isEmpty()
                    && !engine.hasOrExpects(model)
                    && (!engine.isLimiting() || areAllLimiting);
            boolean hasWeightSource = engine.hasLocalWeights(model) || mayUseStore;
            if (!isCandidate || !hasWeightSource) {
                continue;
            }
            Optional<Step> step = loadOrUnload(engine, model).filter(each -> mayMakeRoom || each instanceof Step.Load);
            double loss = lossOfStep(step);
            double addedWork = sharedWork / speeds.applyAsDouble(engine.server());
            double gain = (leastWork - work.get(engine) - addedWork) * servingFraction(engine, model);
            double secondCost = isUnserved ? URGENT_LOAD_COST_PER_SECOND : LOAD_COST_PER_SECOND;
            double cost = work.get(engine)
                    + addedWork
                    + loadSeconds(engine, model) * (secondCost + adapterBlockingCost(engine))
                    + loss;
            if (step.isPresent() && gain > loss + MIN_GAIN && cost < bestCost) {
                best = step;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Returns whether models may be unloaded for a model. For callers that have left and of whom not many have asked, a
     * part of the engines stays free, since each one that loads cannot load for others meanwhile.
     */
    private boolean mayMakeRoomFor(Demand demand) {
        long free = engines.stream().filter(TrackedEngine::acceptsOrders).count();
        return !demand.isForRefusedOnly() || demand.isCopyLost() || free >= engines.size() * MIN_FREE_SHARE;
    }

    /** Returns the cost of each second of a load that keeps the models on the engine from loading adapters. */
    private double adapterBlockingCost(TrackedEngine engine) {
        return engine.loadedModels().entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .mapToDouble(entry -> workPerReplica(entry.getKey(), replicas(entry.getKey())) * ADAPTER_BLOCKING_COST)
                .sum();
    }

    /** Fraction of the demand horizon that remains to serve requests after the load. */
    private double servingFraction(TrackedEngine engine, String model) {
        return Math.max(
                MIN_SERVING_FRACTION, (DEMAND_HORIZON_SECONDS - loadSeconds(engine, model)) / DEMAND_HORIZON_SECONDS);
    }

    private double lossOfStep(Optional<Step> step) {
        return step.map(each ->
                        each instanceof Step.Unload unload ? MIN_UNLOAD_LOSS + lossOfUnload(unload.model()) : 0.0)
                .orElse(0.0);
    }

    private double loadSeconds(TrackedEngine engine, String model) {
        return engine.loadTime(pool.models().get(model)).toMillis() / 1e3;
    }

    private Optional<Step> loadOrUnload(TrackedEngine engine, String model) {
        if (usedMegabytes(engine) + pool.models().get(model).weightMegabytes() <= pool.weightMegabytes()) {
            return Optional.of(new Step.Load(engine, model));
        }
        return engine.loadedModels().keySet().stream()
                .filter(each -> !each.equals(model) && mayUnload(engine, each, model))
                .min(Comparator.comparingDouble(this::lossOfUnload))
                .map(victim -> new Step.Unload(engine, victim, model));
    }

    /**
     * Returns whether an engine may unload a model for another one. The last copy of a model may only be unloaded for
     * the first copy of one that requests claim and that is in no less demand, or overdue; otherwise models that do not
     * fit together would displace one another by turns. A copy that was loaded lately gives way only to waiting
     * requests for a model in no less demand, so that each of them serves for a while. Requests also wait for a model
     * while its first copy is loaded on another engine.
     */
    private boolean mayUnload(TrackedEngine engine, String victim, String successor) {
        Demand demand = demands.getOrDefault(victim, Demand.NONE);
        Demand successorDemand = demands.getOrDefault(successor, Demand.NONE);
        boolean isSurplus = loadedReplicas(victim) > 1;
        boolean isOnEngine = engine.hasOrExpects(successor) && !engine.isLimiting();
        boolean isFirstCopy = replicas(successor) == (isOnEngine ? 1 : 0);
        boolean isInNoMoreDemand =
                demand.tokensPerSecond() <= Math.max(IDLE_TOKENS_PER_SECOND, successorDemand.tokensPerSecond());
        boolean isPressing = successorDemand.waitingRequests() > 0 && isInNoMoreDemand;
        boolean isDue = successorDemand.isClaimed() && (isInNoMoreDemand || successorDemand.isOverdue());
        boolean isOutranked = demand.priority() == 0 || demand.priority() < successorDemand.priority();
        boolean givesWay = isFirstCopy && isOutranked && (isPressing || isDue && !demand.isKept());
        // Requests that wait for one adapter after another must not hold a model for ever.
        boolean isSpared = demand.waitingRequests() > 0 && !successorDemand.isOverdue();
        boolean isIdle = demand.tokensPerSecond() <= IDLE_TOKENS_PER_SECOND;
        return !isSpared && (isIdle || !successorDemand.isForRefusedOnly()) && (isSurplus || givesWay);
    }

    /** Loss from unloading one replica of a model, as work. */
    private double lossOfUnload(String model) {
        double work = workPerReplica(model, replicas(model));
        if (loadedReplicas(model) > 1) {
            return work * UNLOAD_LOSS_SHARE;
        }
        boolean hasDemand = demands.getOrDefault(model, Demand.NONE).tokensPerSecond() > IDLE_TOKENS_PER_SECOND;
        return hasDemand ? LAST_REPLICA_LOSS + 2 * work : IDLE_LAST_REPLICA_LOSS;
    }

    private int loadedReplicas(String model) {
        return loadedCounts.computeIfAbsent(model, name ->
                (int) engines.stream().filter(engine -> engine.keeps(name)).count());
    }

    /** Engines that limit their requests do not count: a model needs another engine beside them. */
    private int replicas(String model) {
        return replicaCounts.computeIfAbsent(model, this::countReplicas);
    }

    private int countReplicas(String model) {
        return (int) engines.stream()
                .filter(engine -> engine.hasOrExpects(model) && !engine.isLimiting())
                .count();
    }

    /**
     * Memory of the models that are loaded or being loaded, with every adapter slot counted at the size of the largest
     * adapter.
     */
    private double usedMegabytes(TrackedEngine engine) {
        return weightMegabytes(pool, engine) + largestAdapterMegabytes * pool.adapterSlots();
    }

    private static double largestAdapterMegabytes(EnginePool pool) {
        return pool.models().values().stream()
                .mapToDouble(EnginePool.EngineModel::adapterMegabytes)
                .max()
                .orElse(0);
    }

    private static double weightMegabytes(EnginePool pool, TrackedEngine engine) {
        double used = 0;
        for (String model : engine.loadedModels().keySet()) {
            used += modelMegabytes(pool, model);
        }
        return used + modelMegabytes(pool, engine.loadingModel());
    }

    private static double modelMegabytes(EnginePool pool, String model) {
        EnginePool.EngineModel engineModel = pool.models().get(model);
        return engineModel == null ? 0 : engineModel.weightMegabytes();
    }

    /**
     * Returns whether an adapter fits into the free memory of an engine. Each adapter on the engine counts as the
     * largest one.
     *
     * @param pool the pool of the engine
     * @param engine the engine
     * @param model the base model of the adapter
     * @return {@code false} if the load could exceed the memory of the engine
     */
    static boolean hasRoomForAdapter(EnginePool pool, TrackedEngine engine, String model) {
        EnginePool.EngineModel engineModel = pool.models().get(model);
        double adapters = engine.occupiedAdapterSlots() * largestAdapterMegabytes(pool);
        return engineModel != null
                && weightMegabytes(pool, engine) + adapters + engineModel.adapterMegabytes() <= pool.weightMegabytes();
    }

    private double workPerReplica(String model, int replicaCount) {
        Demand demand = demands.getOrDefault(model, Demand.NONE);
        return demand.tokensPerSecond() / TOKENS_PER_SECOND / Math.max(1, replicaCount);
    }

    /** Returns the work of each engine in relation to its speed. */
    private Map<TrackedEngine, Double> workByEngine() {
        if (work.isEmpty()) {
            Map<TrackedEngine, Double> computed = new HashMap<>();
            for (TrackedEngine engine : engines) {
                double sum = demands.keySet().stream()
                        .filter(engine::hasOrExpects)
                        .mapToDouble(model -> workPerReplica(model, replicas(model)))
                        .sum();
                computed.put(engine, sum / speeds.applyAsDouble(engine.server()));
            }
            work = Optional.of(computed);
        }
        return work.get();
    }
}
