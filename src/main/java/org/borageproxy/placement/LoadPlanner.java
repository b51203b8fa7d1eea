package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.borageproxy.publication.EnginePool;

/**
 * Plans which model or adapter an engine loads or gives up next. Models that callers wait for come first, then models
 * whose engines are far busier than the rest. The last place of a model that is asked for is never given up. A pure
 * function of its arguments. Immutable and thread safe.
 */
final class LoadPlanner {

    /** How far the engines of a model exceed the mean before it gets another place. */
    private static final double CROWDED = 1.35;
    /** The work below which engines are never crowded, in seconds of an engine for each second. */
    private static final double LEAST_WORK = 0.12;
    /** The gain that a move must bring, in seconds of an engine for each second. */
    private static final double LEAST_GAIN = 0.04;
    /** The part of a place's work that other places of the model cannot take over without loss. */
    private static final double KEPT_SHARE = 0.6;
    /** The loss with the last place of a model that is asked for. */
    private static final double LAST_PLACE = 0.3;
    /** The loss with the last place of a model that nobody asks for now; demand moves on faster than a load. */
    private static final double UNASKED_PLACE = 0.15;
    /** What a second of loading counts against an engine. */
    private static final double LOAD_COST = 0.05;
    /** What work with adapters counts more against an engine that loads. */
    private static final double ADAPTER_BLOCK = 0.3;
    /** What a second of loading counts while callers of a model that no engine holds are refused. */
    private static final double URGENT_LOAD_COST = 0.5;
    /** The time for which demand stays about the same, in seconds; from the users' days. */
    private static final double HORIZON_SECONDS = 14.0;

    private static final double LEAST_WORTH = 0.15;
    /** Prompt and output tokens that an engine serves in a second at pace one; from the users' sheets. */
    private static final double TOKENS_PER_SECOND = 12_000.0;

    private final EnginePool pool;
    private final Collection<TrackedEngine> engines;
    private final Map<String, Demand> demands;

    /**
     * The demand of a model.
     *
     * @param tokensPerSecond prompt and output tokens asked for
     * @param waitingRequests requests that wait for it
     */
    record Demand(double tokensPerSecond, int waitingRequests) {

        static final Demand NONE = new Demand(0, 0);
    }

    /** What an engine does next. */
    sealed interface Step {

        /**
         * Returns the engine.
         *
         * @return its book
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
         * Gives up a model.
         *
         * @param engine the engine
         * @param model the model
         * @param successor the model for which room is made
         */
        record Unload(TrackedEngine engine, String model, String successor) implements Step {}
    }

    LoadPlanner(EnginePool pool, Collection<TrackedEngine> engines, Map<String, Demand> demands) {
        this.pool = pool;
        this.engines = engines;
        this.demands = demands;
    }

    /**
     * Returns the next step.
     *
     * @param mayUseStore whether a load from the weight store may begin
     * @return empty if all is as it should be, or nothing can be done now
     */
    Optional<Step> nextStep(boolean mayUseStore) {
        for (TrackedEngine engine : engines) {
            String awaited = engine.successorModel();
            boolean isKnown = pool.models().containsKey(awaited);
            if (engine.acceptsOrders() && isKnown && (mayUseStore || engine.hasLocalWeights(awaited))) {
                Optional<Step> step = step(engine, awaited);
                if (step.isPresent()) {
                    return step;
                }
            }
        }
        List<String> urgent = demands.entrySet().stream()
                .filter(entry -> entry.getValue().waitingRequests() > 0
                        && pool.models().containsKey(entry.getKey())
                        && places(entry.getKey()) == 0)
                .sorted(Comparator.comparingInt((Map.Entry<String, Demand> entry) ->
                                entry.getValue().waitingRequests())
                        .reversed())
                .map(Map.Entry::getKey)
                .toList();
        for (String model : urgent) {
            Optional<Step> step = place(model, mayUseStore, Double.MAX_VALUE);
            if (step.isPresent()) {
                return step;
            }
        }
        return relief(mayUseStore);
    }

    private Optional<Step> relief(boolean mayUseStore) {
        Map<TrackedEngine, Double> work = work();
        double mean = work.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
        return demands.entrySet().stream()
                .filter(entry -> places(entry.getKey()) > 0 && pool.models().containsKey(entry.getKey()))
                .filter(entry -> crowding(entry.getKey(), work) > Math.max(LEAST_WORK, mean * CROWDED))
                .sorted(Comparator.comparingDouble(
                        (Map.Entry<String, Demand> entry) -> -share(entry.getKey(), places(entry.getKey()))))
                .map(entry -> place(entry.getKey(), mayUseStore, crowding(entry.getKey(), work)))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** The least work among the engines of a model; requests go there first. */
    private double crowding(String model, Map<TrackedEngine, Double> work) {
        return engines.stream()
                .filter(engine -> engine.hasOrExpects(model))
                .mapToDouble(work::get)
                .min()
                .orElse(0);
    }

    private Optional<Step> place(String model, boolean mayUseStore, double crowding) {
        boolean isUrgent = places(model) == 0;
        Map<TrackedEngine, Double> work = work();
        double brought = share(model, places(model) + 1);
        Optional<Step> best = Optional.empty();
        double bestCost = Double.MAX_VALUE;
        for (TrackedEngine engine : engines) {
            boolean isFree = engine.acceptsOrders() && engine.successorModel().isEmpty() && !engine.hasOrExpects(model);
            boolean isPaid = engine.hasLocalWeights(model) || mayUseStore;
            if (!isFree || !isPaid) {
                continue;
            }
            Optional<Step> step = step(engine, model);
            double loss = lossOf(step);
            double gain = (crowding - work.get(engine) - brought) * worthOfLoad(engine, model);
            double secondCost = isUrgent ? URGENT_LOAD_COST : LOAD_COST;
            double cost = work.get(engine) + loadSeconds(engine, model) * (secondCost + blocked(engine)) + loss;
            if (step.isPresent() && gain > loss + LEAST_GAIN && cost < bestCost) {
                best = step;
                bestCost = cost;
            }
        }
        return best;
    }

    /** An engine that loads a model takes no adapters meanwhile: the work of its models that have adapters. */
    private double blocked(TrackedEngine engine) {
        return engine.loadedModels().entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .mapToDouble(entry -> share(entry.getKey(), places(entry.getKey())) * ADAPTER_BLOCK)
                .sum();
    }

    /** The part of the time until demand moves on in which a loaded model serves. */
    private double worthOfLoad(TrackedEngine engine, String model) {
        return Math.max(LEAST_WORTH, (HORIZON_SECONDS - loadSeconds(engine, model)) / HORIZON_SECONDS);
    }

    private double lossOf(Optional<Step> step) {
        return step.map(each -> each instanceof Step.Unload unload ? loss(unload.model()) : 0.0)
                .orElse(0.0);
    }

    private double loadSeconds(TrackedEngine engine, String model) {
        return engine.loadTime(pool.models().get(model)).toMillis() / 1e3;
    }

    private Optional<Step> step(TrackedEngine engine, String model) {
        if (used(engine) + pool.models().get(model).weightMegabytes() <= pool.weightMegabytes()) {
            return Optional.of(new Step.Load(engine, model));
        }
        return engine.loadedModels().keySet().stream()
                .filter(each -> !each.equals(model))
                .min(Comparator.comparingDouble(this::loss))
                .filter(victim -> demands.getOrDefault(victim, Demand.NONE).waitingRequests() == 0)
                .map(victim -> new Step.Unload(engine, victim, model));
    }

    /** What is lost with one place of a model, in seconds of an engine for each second. */
    private double loss(String model) {
        double share = share(model, places(model));
        if (settledPlaces(model) > 1) {
            return share * KEPT_SHARE;
        }
        boolean isAsked = demands.getOrDefault(model, Demand.NONE).tokensPerSecond() > 1;
        return isAsked ? LAST_PLACE + 2 * share : UNASKED_PLACE;
    }

    private int settledPlaces(String model) {
        return (int) engines.stream()
                .filter(engine -> engine.loadedModels().containsKey(model))
                .count();
    }

    private int places(String model) {
        return (int)
                engines.stream().filter(engine -> engine.hasOrExpects(model)).count();
    }

    /** The memory that an engine uses or is about to use, with room for its adapters, in megabytes. */
    private double used(TrackedEngine engine) {
        double adapter = pool.models().values().stream()
                .mapToDouble(EnginePool.EngineModel::adapterMegabytes)
                .max()
                .orElse(0);
        return weights(pool, engine) + adapter * pool.adapterSlots();
    }

    private static double weights(EnginePool pool, TrackedEngine engine) {
        double used = 0;
        for (String model : engine.loadedModels().keySet()) {
            used += megabytes(pool, model);
        }
        return used + megabytes(pool, engine.loadingModel());
    }

    private static double megabytes(EnginePool pool, String model) {
        EnginePool.EngineModel figures = pool.models().get(model);
        return figures == null ? 0 : figures.weightMegabytes();
    }

    /**
     * Tells whether an adapter fits into the memory of an engine.
     *
     * @param pool the engine's pool
     * @param engine the engine
     * @param model the adapter's model
     * @return {@code false} if the engine could be overfilled
     */
    static boolean hasRoomForAdapter(EnginePool pool, TrackedEngine engine, String model) {
        EnginePool.EngineModel figures = pool.models().get(model);
        double largest = pool.models().values().stream()
                .mapToDouble(EnginePool.EngineModel::adapterMegabytes)
                .max()
                .orElse(0);
        double adapters = engine.occupiedAdapterSlots() * largest;
        return figures != null
                && weights(pool, engine) + adapters + figures.adapterMegabytes() <= pool.weightMegabytes();
    }

    /** The work of a model at each of its places. */
    private double share(String model, int places) {
        Demand demand = demands.getOrDefault(model, Demand.NONE);
        return demand.tokensPerSecond() / TOKENS_PER_SECOND / Math.max(1, places);
    }

    private Map<TrackedEngine, Double> work() {
        Map<TrackedEngine, Double> work = new HashMap<>();
        List<String> models = new ArrayList<>(demands.keySet());
        for (TrackedEngine engine : engines) {
            double sum = models.stream()
                    .filter(model -> engine.hasOrExpects(model))
                    .mapToDouble(model -> share(model, places(model)))
                    .sum();
            work.put(engine, sum);
        }
        return work;
    }
}
