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

/** The decisions of one run of an experiment. Implementations are not thread safe. */
interface Strategy {

    /**
     * Returns the quota of an entry VM.
     *
     * @param entry the VM's number
     * @return the quota
     */
    TokenQuota quota(int entry);

    /**
     * Returns the queue before the engines.
     *
     * @return the queue
     */
    DispatchQueue queue();

    /**
     * Chooses the engine for a request.
     *
     * @param arrival the request
     * @return the engine, or empty if none can run it
     */
    Optional<Engine> choose(Arrival arrival);

    /**
     * Notes the demand of an admitted request.
     *
     * @param arrival the request
     */
    void demanded(Arrival arrival);

    /**
     * Decides what to load and unload.
     *
     * @return the orders
     */
    List<PlannedOrder> plan();

    /** Tells the queue that places have become free. */
    void placesChanged();

    /** The decisions of the product. */
    final class ForProduct implements Strategy {

        /** The loads of models that may be saved up. */
        private static final double LARGEST_SAVED_LOADS = 2;

        /** The trace. */
        private final Trace trace;

        /** The engines. */
        private final EngineEmulator engines;

        /** The virtual time. */
        private final VirtualTime time;

        /** The source of randomness. */
        private final Random random;

        /** The quotas. */
        private final VirtualVms vms;

        /** The queue. */
        private final FairDispatchQueue queue;

        /** The demand for models. */
        private final Map<String, DecayedDemand> models = new HashMap<>();

        /** The demand for adapters. */
        private final Map<String, DecayedDemand> adapters = new HashMap<>();

        /** The loads of models that may be ordered. */
        private double savedLoads;

        /**
         * Creates the decisions.
         *
         * @param trace the trace
         * @param engines the engines
         * @param time the virtual time
         * @param capacity the places of each pool
         * @param random the source of randomness
         */
        ForProduct(
                Trace trace, EngineEmulator engines, VirtualTime time, ToIntFunction<String> capacity, Random random) {
            this.trace = trace;
            this.engines = engines;
            this.time = time;
            this.random = random;
            this.vms = new VirtualVms(Trace.ENTRIES, trace.configuration(), time);
            this.queue = new FairDispatchQueue(capacity, time::nowNanos, new VirtualTimers(time));
        }

        @Override
        public TokenQuota quota(int entry) {
            return vms.quota(entry);
        }

        @Override
        public DispatchQueue queue() {
            return queue;
        }

        @Override
        public Optional<Engine> choose(Arrival arrival) {
            ReplicaQuery query = new ReplicaQuery(
                    new ReplicaQuery.Target.OfModel(arrival.model(), "1", arrival.adapter()),
                    new ReplicaQuery.Work(arrival.promptTokens(), arrival.maximumOutputTokens()),
                    engines.engines().get(arrival.entry() % 3).zone,
                    Map.of(),
                    false,
                    null);
            Selection selection = ReplicaSelector.INSTANCE.select(
                    query,
                    engines.announcements(),
                    name -> new ServerTable.Usage(engines.engine(name).inFlight(), false, CircuitBreaker.CLOSED),
                    time.nowNanos(),
                    random);
            return selection instanceof Selection.Chosen chosen
                    ? Optional.of(engines.engine(chosen.server().name()))
                    : Optional.empty();
        }

        @Override
        public void demanded(Arrival arrival) {
            count(models, arrival.model(), arrival.usedTokens());
            if (!arrival.adapter().isEmpty()) {
                count(adapters, arrival.adapter(), arrival.usedTokens());
            }
        }

        /**
         * Counts demand.
         *
         * @param rates the demand by name
         * @param name the name
         * @param tokens the tokens
         */
        private void count(Map<String, DecayedDemand> rates, String name, long tokens) {
            DecayedDemand known = rates.getOrDefault(name, new DecayedDemand(0, 0, time.nowNanos()));
            rates.put(name, known.withArrival(tokens, time.nowNanos()));
        }

        @Override
        public List<PlannedOrder> plan() {
            savedLoads = Math.min(LARGEST_SAVED_LOADS, savedLoads + 2);
            int loads = Math.min((int) savedLoads, trace.deployment().parallelModelLoads() - engines.modelLoads());
            int adapterLoads = trace.deployment().parallelAdapterLoads() - engines.adapterLoads();
            PlannerInput input = new PlannerInput(
                    trace.configuration(),
                    engines.views(),
                    new DemandRates(rates(models), rates(adapters)),
                    loads,
                    adapterLoads);
            List<PlannedOrder> orders = Planner.plan(input);
            savedLoads -= orders.stream()
                    .filter(order -> order.action() == Intent.Action.LOAD)
                    .count();
            return orders;
        }

        /**
         * Returns the demand now.
         *
         * @param counted the counted demand by name
         * @return the rates by name
         */
        private Map<String, DemandRates.Rate> rates(Map<String, DecayedDemand> counted) {
            Map<String, DemandRates.Rate> rates = new HashMap<>();
            counted.forEach((name, rate) -> {
                DecayedDemand now = rate.decayedTo(time.nowNanos());
                rates.put(name, new DemandRates.Rate(now.fast(), now.slow()));
            });
            return rates;
        }

        @Override
        public void placesChanged() {
            queue.waitingPools().forEach(queue::capacityChanged);
        }
    }

    /** The baseline: rates split over the VMs, one first-come queue, least in flight, a placement that stays. */
    final class ForBaseline implements Strategy {

        /** The engines. */
        private final EngineEmulator engines;

        /** The quotas by entry. */
        private final List<SplitQuota> quotas;

        /** The queue. */
        private final FirstComeQueue queue;

        /**
         * Creates the decisions.
         *
         * @param trace the trace
         * @param engines the engines
         * @param time the virtual time
         * @param capacity the places of each pool
         */
        ForBaseline(Trace trace, EngineEmulator engines, VirtualTime time, ToIntFunction<String> capacity) {
            this.engines = engines;
            this.quotas = IntStream.range(0, Trace.ENTRIES)
                    .mapToObj(entry -> new SplitQuota(trace.configuration().workspaces(), Trace.ENTRIES, time))
                    .toList();
            this.queue = new FirstComeQueue(capacity, time);
        }

        @Override
        public TokenQuota quota(int entry) {
            return quotas.get(entry);
        }

        @Override
        public DispatchQueue queue() {
            return queue;
        }

        @Override
        public Optional<Engine> choose(Arrival arrival) {
            return engines.serving(arrival.model(), arrival.adapter()).stream()
                    .min(Comparator.comparingInt(Engine::inFlight));
        }

        @Override
        public void demanded(Arrival arrival) {
            // The placement stays as it is.
        }

        @Override
        public List<PlannedOrder> plan() {
            return List.of();
        }

        @Override
        public void placesChanged() {
            queue.dispatch();
        }
    }
}
