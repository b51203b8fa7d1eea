package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.claim.Claims;
import org.borageproxy.claim.Target;
import org.borageproxy.publication.EnginePool;

/**
 * Plans which adapters the engines of one service load or unload next: those that requests wait for and those whose
 * requests were refused and not served since, the earliest claim first. An adapter is loaded on an engine that has its
 * model and a free slot, or else in place of the least recently requested one without a claim. Reads the engines; the
 * receiver of the orders changes them. Not thread safe, since the engines aren't.
 */
final class AdapterPlanner {

    /** Maximum number of adapters that one engine loads at a time. */
    private static final int MAX_LOADING_ADAPTERS = 4;

    private final String service;
    private final EnginePool pool;
    private final List<TrackedEngine> engines;
    private final FleetDemand demand;
    private final Claims claims;
    /** Slots that become free and are kept for an adapter with an earlier claim. */
    private final Map<TrackedEngine, Integer> assignedSlots = new HashMap<>();

    /** Sends the order for an adapter. */
    @FunctionalInterface
    interface OrderSender {

        /**
         * Sends an order.
         *
         * @param engine the engine
         * @param isLoad whether to load; {@code false} unloads
         * @param adapter the adapter with its model
         */
        void send(TrackedEngine engine, boolean isLoad, Target adapter);
    }

    /**
     * Creates a planner.
     *
     * @param service the service
     * @param pool the pool of the engines
     * @param engines the engines of the service
     * @param demand the demand for the adapters
     * @param claims the adapters that were not served yet
     */
    AdapterPlanner(String service, EnginePool pool, List<TrackedEngine> engines, FleetDemand demand, Claims claims) {
        this.service = service;
        this.pool = pool;
        this.engines = engines;
        this.demand = demand;
        this.claims = claims;
    }

    /**
     * Sends the orders that are possible now, at most one to each engine.
     *
     * @param sender sends the orders
     */
    void plan(OrderSender sender) {
        assignedSlots.clear();
        // Requests may wait without a claim if there are too many claims.
        Set<Target> waiting = new HashSet<>(demand.adaptersWithWaitingRequests(service));
        Set<Target> wanted = new LinkedHashSet<>(claims.targets(service));
        wanted.addAll(waiting);
        for (Target target : wanted) {
            if (!target.adapter().isEmpty() && isMissing(target)) {
                planLoad(target, waiting.contains(target), sender);
            }
        }
    }

    private void planLoad(Target target, boolean isWaiting, OrderSender sender) {
        engines.stream()
                .filter(engine -> isHolder(engine, target)
                        && engine.acceptsAdapterOrders()
                        && !engine.isBusy()
                        && engine.loadingAdapterCount() < MAX_LOADING_ADAPTERS)
                .min(Comparator.comparing((TrackedEngine engine) -> !hasRoom(engine, target))
                        .thenComparing(engine -> unassignedSlots(engine) <= 0)
                        .thenComparingLong(this::evictionCandidateRequestedAtNanos))
                .ifPresent(engine -> loadOrEvict(engine, target, isWaiting, sender));
    }

    private void loadOrEvict(TrackedEngine engine, Target target, boolean isWaiting, OrderSender sender) {
        if (hasRoom(engine, target)) {
            sender.send(engine, true, target);
        } else if (unassignedSlots(engine) > 0) {
            // The slot of an adapter that is being unloaded is free only once a report shows it.
            assignedSlots.merge(engine, 1, Integer::sum);
        } else {
            // Adapters whose callers have left would otherwise displace one another by turns.
            evictionCandidate(engine)
                    .filter(victim -> isWaiting || claims.sinceNanos(victim).isEmpty())
                    .ifPresent(victim -> sender.send(engine, false, victim));
        }
    }

    private boolean hasRoom(TrackedEngine engine, Target target) {
        return engine.occupiedAdapterSlots() < pool.adapterSlots()
                && LoadPlanner.hasRoomForAdapter(pool, engine, target.model());
    }

    private int unassignedSlots(TrackedEngine engine) {
        return engine.unloadingAdapterCount() - assignedSlots.getOrDefault(engine, 0);
    }

    /**
     * Returns whether no engine has an adapter or is loading it.
     *
     * @param target the adapter with its model
     * @return {@code true} also if no engine has the model
     */
    boolean isMissing(Target target) {
        return engines.stream().noneMatch(engine -> hasOrLoads(engine, target));
    }

    /**
     * Returns why an adapter that no engine has or loads cannot be ordered now.
     *
     * @param target the adapter, with a model that an engine has or expects
     * @return the obstacle, as a word for log lines
     */
    String obstacle(Target target) {
        List<TrackedEngine> holders =
                engines.stream().filter(engine -> isHolder(engine, target)).toList();
        if (holders.isEmpty()) {
            return "model-not-loaded";
        }
        if (holders.stream().allMatch(TrackedEngine::isBusy)) {
            return "engines-busy";
        }
        return holders.stream().noneMatch(TrackedEngine::acceptsAdapterOrders)
                ? "order-unanswered"
                : "no-request-waits";
    }

    private static boolean isHolder(TrackedEngine engine, Target target) {
        return target.admits(engine.server()) && engine.loadedModels().containsKey(target.model());
    }

    private static boolean hasOrLoads(TrackedEngine engine, Target target) {
        return target.admits(engine.server())
                && (engine.isLoadingAdapter(target.model(), target.adapter())
                        || engine.loadedModels()
                                .getOrDefault(target.model(), Set.of())
                                .contains(target.adapter()));
    }

    /** Returns the time of the last request for the adapter that the engine would unload first. */
    private long evictionCandidateRequestedAtNanos(TrackedEngine engine) {
        return evictionCandidate(engine).map(demand::lastRequestedAtNanos).orElse(Long.MIN_VALUE);
    }

    private Optional<Target> evictionCandidate(TrackedEngine engine) {
        List<Target> loadedAdapters = new ArrayList<>();
        engine.loadedModels()
                .forEach((model, adapters) ->
                        adapters.forEach(adapter -> loadedAdapters.add(new Target(service, model, adapter))));
        return loadedAdapters.stream()
                .min(Comparator.comparing(
                                (Target adapter) -> claims.sinceNanos(adapter).isPresent())
                        .thenComparing(demand.byLastRequestTime()));
    }
}
