package org.borageproxy.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.borageproxy.admission.DispatchQueue;
import org.borageproxy.experiment.EngineEmulator.Engine;
import org.borageproxy.quota.TokenQuota;
import org.borageproxy.time.Deadline;

/** Runs one trace with one set of decisions in virtual time. Not thread safe. */
final class TraceRun {

    /** How often a plan is made, in nanoseconds. */
    private static final long PLAN_NANOS = 1_000_000_000L;

    /** How long a request may wait for its workspace's rate, in nanoseconds. */
    private static final long QUOTA_WAIT_NANOS = 1_000_000_000L;

    /** How long the run goes on after the last request, in nanoseconds. */
    private static final long REST_NANOS = 40_000_000_000L;

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The trace. */
    private final Trace trace;

    /** The seed of the trace. */
    private final long seed;

    /** The virtual time. */
    private final VirtualTime time = new VirtualTime();

    /** The engines. */
    private final EngineEmulator engines;

    /** The decisions. */
    private final Strategy strategy;

    /** The requests that run, by pool. */
    private final Map<String, Integer> running = new HashMap<>();

    /** The requests within their rate, by workspace. */
    private final Map<String, Integer> entitled = new HashMap<>();

    /** The requests that were answered in time, by workspace. */
    private final Map<String, Integer> attained = new HashMap<>();

    /** The requests refused for the rate although they were within it. */
    private int wrongfulRefusals;

    /**
     * Creates a run.
     *
     * @param trace the trace
     * @param seed the seed
     * @param product whether the product decides, and not the baseline
     */
    private TraceRun(Trace trace, long seed, boolean product) {
        this.trace = trace;
        this.seed = seed;
        this.engines = new EngineEmulator(trace, time, new Random(seed));
        this.strategy = product
                ? new Strategy.ForProduct(trace, engines, time, this::capacity, new Random(seed))
                : new Strategy.ForBaseline(trace, engines, time, this::capacity);
    }

    /**
     * Runs a trace with the decisions of the product.
     *
     * @param trace the trace
     * @param seed the seed
     * @return what the run gave
     */
    static Measures ofProduct(Trace trace, long seed) {
        return new TraceRun(trace, seed, true).run("borageproxy");
    }

    /**
     * Runs a trace with the baseline.
     *
     * @param trace the trace
     * @param seed the seed
     * @return what the run gave
     */
    static Measures ofBaseline(Trace trace, long seed) {
        return new TraceRun(trace, seed, false).run("baseline");
    }

    /**
     * Returns the places of a pool: those in use and those free on the engines that serve it.
     *
     * @param pool the pool's name
     * @return the places
     */
    private int capacity(String pool) {
        int slash = pool.indexOf('/');
        String model = slash < 0 ? pool : pool.substring(0, slash);
        String adapter = slash < 0 ? "" : pool.substring(slash + 1);
        int free = 0;
        for (Engine engine : engines.serving(model, adapter)) {
            free += Math.max(0, EngineEmulator.BATCH_LIMIT - engine.inFlight());
        }
        return running.getOrDefault(pool, 0) + free;
    }

    /**
     * Runs the trace.
     *
     * @param policy the name of the decisions
     * @return what it gave
     */
    private Measures run(String policy) {
        for (Arrival arrival : trace.arrivals()) {
            time.after(arrival.atNanos(), () -> arrive(arrival));
        }
        time.after(Trace.START_NANOS, this::plan);
        time.runUntil(trace.endNanos() + REST_NANOS);
        double seconds = (trace.endNanos() - Trace.START_NANOS) / NANOS_PER_SECOND;
        return new Measures(
                trace.deployment(),
                seed,
                policy,
                attainedWithinRates() / seconds / trace.deployment().replicas(),
                (double) attainedWithinRates() / Math.max(1, requestsWithinRates()),
                worst(),
                wrongfulRefusals,
                engines.moves());
    }

    /** Makes a plan, again and again. */
    private void plan() {
        strategy.plan().forEach(engines::order);
        time.after(PLAN_NANOS, this::plan);
    }

    /**
     * Takes a request in.
     *
     * @param arrival the request
     */
    private void arrive(Arrival arrival) {
        if (arrival.entitled()) {
            entitled.merge(arrival.workspace(), 1, Integer::sum);
        }
        Deadline patience = new Deadline(time.nowNanos() + QUOTA_WAIT_NANOS);
        strategy.quota(arrival.entry())
                .reserve(arrival.workspace(), arrival.reservedTokens(), patience)
                .thenAccept(decision -> {
                    if (decision instanceof TokenQuota.Decision.Reserved reserved) {
                        admit(arrival, reserved.reservation());
                    } else if (arrival.withinRate()) {
                        wrongfulRefusals++;
                    }
                });
    }

    /**
     * Queues a request whose tokens are reserved.
     *
     * @param arrival the request
     * @param reservation its tokens
     */
    private void admit(Arrival arrival, TokenQuota.Reservation reservation) {
        strategy.demanded(arrival);
        DispatchQueue.QueuedRequest request = new DispatchQueue.QueuedRequest(
                arrival.workspace(),
                arrival.pool(),
                arrival.reservedTokens(),
                0,
                new Deadline(arrival.deadlineNanos()));
        strategy.queue().enqueue(request).thenAccept(decision -> {
            if (decision instanceof DispatchQueue.Decision.Dispatchable dispatchable) {
                dispatch(arrival, reservation, dispatchable.slot());
            } else {
                reservation.refund();
            }
        });
    }

    /**
     * Sends a request to an engine.
     *
     * @param arrival the request
     * @param reservation its tokens
     * @param slot its place
     */
    private void dispatch(Arrival arrival, TokenQuota.Reservation reservation, DispatchQueue.Slot slot) {
        Optional<Engine> engine = strategy.choose(arrival);
        if (engine.isEmpty()) {
            reservation.refund();
            slot.release();
            return;
        }
        running.merge(arrival.pool(), 1, Integer::sum);
        engines.run(engine.get(), arrival, () -> complete(arrival, reservation, slot));
    }

    /**
     * Takes the end of a request.
     *
     * @param arrival the request
     * @param reservation its tokens
     * @param slot its place
     */
    private void complete(Arrival arrival, TokenQuota.Reservation reservation, DispatchQueue.Slot slot) {
        running.merge(arrival.pool(), -1, Integer::sum);
        reservation.settle(arrival.usedTokens());
        if (time.nowNanos() <= arrival.deadlineNanos()) {
            attained.merge(arrival.workspace(), 1, Integer::sum);
        }
        slot.release();
        strategy.placesChanged();
    }

    /**
     * Returns the attainment of the worst-served workspace.
     *
     * @return the share
     */
    private double worst() {
        return entitled.entrySet().stream()
                .mapToDouble(workspace -> (double) attained.getOrDefault(workspace.getKey(), 0) / workspace.getValue())
                .min()
                .orElse(1);
    }

    /**
     * Returns the requests of a workspace that were answered in time, up to the number that it was entitled to.
     *
     * @param workspace the workspace
     * @return the number
     */
    private int attainedOf(String workspace) {
        return Math.min(attained.getOrDefault(workspace, 0), entitled.get(workspace));
    }

    /**
     * Returns the requests that were answered in time, for each workspace up to the number that it was entitled to.
     *
     * @return the number
     */
    private int attainedWithinRates() {
        return entitled.keySet().stream().mapToInt(this::attainedOf).sum();
    }

    /**
     * Returns the requests that the workspaces were entitled to.
     *
     * @return the number
     */
    private int requestsWithinRates() {
        return entitled.values().stream().mapToInt(Integer::intValue).sum();
    }
}
