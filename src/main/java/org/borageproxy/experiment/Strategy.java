package org.borageproxy.experiment;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;

import org.borageproxy.admission.DispatchQueue;
import org.borageproxy.admission.FairDispatchQueue;
import org.borageproxy.experiment.EngineEmulator.Engine;
import org.borageproxy.placement.DecayedDemand;
import org.borageproxy.placement.DemandRates;
import org.borageproxy.placement.Intent;
import org.borageproxy.placement.PlannedOrder;
import org.borageproxy.placement.Planner;
import org.borageproxy.placement.PlannerInput;
import org.borageproxy.quota.TokenQuota;
import org.borageproxy.routing.CircuitBreaker;
import org.borageproxy.routing.ReplicaQuery;
import org.borageproxy.routing.ReplicaSelector;
import org.borageproxy.routing.Selection;
import org.borageproxy.routing.ServerTable;

/** The policies of one run: quota, dispatch, routing and placement. Implementations are not thread safe. */
interface Strategy {

    /** Returns the quota as enforced by an entry VM. */
    TokenQuota quota(int entryIndex);

    /** Returns the queue of admitted requests. */
    DispatchQueue queue();

    /** Selects the engine for a request; empty if no engine accepts it. */
    Optional<Engine> chooseEngine(Arrival arrival);

    /** Records the demand of an admitted request as input for {@link #plan}. */
    void recordDemand(Arrival arrival);

    /** Returns the placement orders that are due; called once per planning interval. */
    List<PlannedOrder> plan();

    /** Called when places on engines have become free. */
    void onCapacityChange();

    /** The production policies. */
    final class Production implements Strategy {

        /** Maximum number of accumulated credits, each of which pays for one model load. */
        private static final double MAXIMUM_LOAD_CREDITS = 2;

        private final Trace trace;

        private final EngineEmulator engines;

        private final VirtualTime time;

        private final Random random;

        private final SimulatedQuotas quotas;

        private final FairDispatchQueue queue;

        private final Map<String, DecayedDemand> modelDemand = new HashMap<>();

        private final Map<String, DecayedDemand> adapterDemand = new HashMap<>();

        private double loadCredits;

        /**
         * Creates the policies with full quotas and without demand.
         *
         * @param capacity returns the number of places of a pool, occupied ones included
         * @param random the source of randomness for routing
         */
        Production(
                Trace trace, EngineEmulator engines, VirtualTime time, ToIntFunction<String> capacity, Random random) {
            this.trace = trace;
            this.engines = engines;
            this.time = time;
            this.random = random;
            this.quotas = new SimulatedQuotas(Trace.ENTRY_VM_COUNT, trace.configuration(), time);
            this.queue = new FairDispatchQueue(capacity, time::nowNanos, new VirtualTimeExecutor(time));
        }

        @Override
        public TokenQuota quota(int entryIndex) {
            return quotas.quota(entryIndex);
        }

        @Override
        public DispatchQueue queue() {
            return queue;
        }

        @Override
        public Optional<Engine> chooseEngine(Arrival arrival) {
            // The zones repeat every three engines, so that the first three engines give the zone of each entry VM.
            ReplicaQuery query = new ReplicaQuery(
                    new ReplicaQuery.Target.OfModel(arrival.model(), "1", arrival.adapter(), Optional.empty()),
                    new ReplicaQuery.Work(arrival.promptTokens(), arrival.maximumOutputTokens()),
                    engines.engines().get(arrival.entryIndex() % 3).zone,
                    Map.of(),
                    false,
                    null);
            Selection selection = ReplicaSelector.INSTANCE.select(
                    query,
                    engines.announcements(),
                    name -> new ServerTable.Usage(
                            engines.engine(name).requestsInFlight(), false, CircuitBreaker.CLOSED),
                    time.nowNanos(),
                    random);
            return selection instanceof Selection.Chosen chosen
                    ? Optional.of(engines.engine(chosen.server().name()))
                    : Optional.empty();
        }

        @Override
        public void recordDemand(Arrival arrival) {
            addArrival(modelDemand, arrival.model(), arrival.usedTokens());
            if (!arrival.adapter().isEmpty()) {
                addArrival(adapterDemand, arrival.adapter(), arrival.usedTokens());
            }
        }

        private void addArrival(Map<String, DecayedDemand> rates, String name, long tokens) {
            DecayedDemand known = rates.getOrDefault(name, new DecayedDemand(0, 0, time.nowNanos()));
            rates.put(name, known.withArrival(tokens, time.nowNanos()));
        }

        @Override
        public List<PlannedOrder> plan() {
            loadCredits = Math.min(MAXIMUM_LOAD_CREDITS, loadCredits + 2);
            int loads = Math.min(
                    (int) loadCredits, trace.deployment().parallelModelLoads() - engines.modelLoadsInProgress());
            int adapterLoads = trace.deployment().parallelAdapterLoads() - engines.adapterLoadsInProgress();
            PlannerInput input = new PlannerInput(
                    trace.configuration(),
                    engines.acceleratorViews(),
                    new DemandRates(currentRates(modelDemand), currentRates(adapterDemand)),
                    loads,
                    adapterLoads);
            List<PlannedOrder> orders = Planner.plan(input);
            loadCredits -= orders.stream()
                    .filter(order -> order.action() == Intent.Action.LOAD)
                    .count();
            return orders;
        }

        private Map<String, DemandRates.Rate> currentRates(Map<String, DecayedDemand> counted) {
            Map<String, DemandRates.Rate> rates = new HashMap<>();
            counted.forEach((name, rate) -> {
                DecayedDemand now = rate.decayedTo(time.nowNanos());
                rates.put(name, new DemandRates.Rate(now.fast(), now.slow()));
            });
            return rates;
        }

        @Override
        public void onCapacityChange() {
            queue.waitingPools().forEach(queue::onCapacityChanged);
        }
    }

    /**
     * The baseline: rates split evenly between the VMs, a first-come-first-served queue, routing to the engine with the
     * fewest requests in flight, and a fixed placement.
     */
    final class Baseline implements Strategy {

        private final EngineEmulator engines;

        private final List<StaticallySplitQuota> quotas;

        private final FirstComeFirstServedQueue queue;

        /**
         * Creates the policies with full quotas.
         *
         * @param capacity returns the number of places of a pool, occupied ones included
         */
        Baseline(Trace trace, EngineEmulator engines, VirtualTime time, ToIntFunction<String> capacity) {
            this.engines = engines;
            this.quotas = IntStream.range(0, Trace.ENTRY_VM_COUNT)
                    .mapToObj(entry ->
                            new StaticallySplitQuota(trace.configuration().workspaces(), Trace.ENTRY_VM_COUNT, time))
                    .toList();
            this.queue = new FirstComeFirstServedQueue(capacity, time);
        }

        @Override
        public TokenQuota quota(int entryIndex) {
            return quotas.get(entryIndex);
        }

        @Override
        public DispatchQueue queue() {
            return queue;
        }

        @Override
        public Optional<Engine> chooseEngine(Arrival arrival) {
            return engines.enginesServing(arrival.model(), arrival.adapter()).stream()
                    .min(Comparator.comparingInt(Engine::requestsInFlight));
        }

        @Override
        public void recordDemand(Arrival arrival) {
            // The placement is fixed.
        }

        @Override
        public List<PlannedOrder> plan() {
            return List.of();
        }

        @Override
        public void onCapacityChange() {
            queue.dispatch();
        }
    }
}
