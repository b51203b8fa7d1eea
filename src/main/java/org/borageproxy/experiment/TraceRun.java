package org.borageproxy.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.borageproxy.admission.DispatchQueue;
import org.borageproxy.experiment.EngineEmulator.Engine;
import org.borageproxy.quota.TokenQuota;
import org.borageproxy.time.Deadline;

/** Runs one trace with one set of policies in virtual time. Not thread safe. */
final class TraceRun {

    private static final long PLAN_INTERVAL_NANOS = 1_000_000_000L;

    /** Maximum time that a request waits for its quota. */
    private static final long QUOTA_TIMEOUT_NANOS = 1_000_000_000L;

    /** Time after the last arrival in which requests are completed. */
    private static final long DRAIN_NANOS = 40_000_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Trace trace;

    private final long seed;

    private final VirtualTime time = new VirtualTime();

    private final EngineEmulator engines;

    private final Strategy strategy;

    private final Map<String, Integer> runningByPool = new HashMap<>();

    /** Requests that a single token bucket for the whole fleet would admit. */
    private final Map<String, Integer> entitledByWorkspace = new HashMap<>();

    /** Requests answered within their deadline, entitled or not. */
    private final Map<String, Integer> attainedByWorkspace = new HashMap<>();

    /** Requests refused by the quota although their workspace was within its rate. */
    private int wrongfulRefusals;

    private TraceRun(Trace trace, long seed, boolean isProduction) {
        this.trace = trace;
        this.seed = seed;
        this.engines = new EngineEmulator(trace, time, new Random(seed));
        this.strategy = isProduction
                ? new Strategy.Production(trace, engines, time, this::capacity, new Random(seed))
                : new Strategy.Baseline(trace, engines, time, this::capacity);
    }

    /** Runs a trace with the production policies. */
    static Measures ofProduction(Trace trace, long seed) {
        return new TraceRun(trace, seed, true).run("borageproxy");
    }

    /** Runs a trace with the baseline. */
    static Measures ofBaseline(Trace trace, long seed) {
        return new TraceRun(trace, seed, false).run("baseline");
    }

    /** Returns the number of places of a pool: the occupied ones and the free ones on engines that serve it. */
    private int capacity(String pool) {
        int slash = pool.indexOf('/');
        String model = slash < 0 ? pool : pool.substring(0, slash);
        String adapter = slash < 0 ? "" : pool.substring(slash + 1);
        int free = 0;
        for (Engine engine : engines.enginesServing(model, adapter)) {
            free += Math.max(0, EngineEmulator.BATCH_LIMIT - engine.requestsInFlight());
        }
        return runningByPool.getOrDefault(pool, 0) + free;
    }

    private Measures run(String policy) {
        for (Arrival arrival : trace.arrivals()) {
            time.schedule(arrival.atNanos(), () -> handleArrival(arrival));
        }
        time.schedule(Trace.START_NANOS, this::plan);
        time.runUntil(trace.endNanos() + DRAIN_NANOS);
        double seconds = (trace.endNanos() - Trace.START_NANOS) / NANOS_PER_SECOND;
        return new Measures(
                trace.deployment(),
                seed,
                policy,
                totalCappedAttained() / seconds / trace.deployment().replicas(),
                (double) totalCappedAttained() / Math.max(1, entitledRequests()),
                worstWorkspaceAttainment(),
                wrongfulRefusals,
                engines.modelLoadCount());
    }

    private void plan() {
        strategy.plan().forEach(engines::execute);
        time.schedule(PLAN_INTERVAL_NANOS, this::plan);
    }

    private void handleArrival(Arrival arrival) {
        if (arrival.isEntitled()) {
            entitledByWorkspace.merge(arrival.workspace(), 1, Integer::sum);
        }
        Deadline quotaDeadline = new Deadline(time.nowNanos() + QUOTA_TIMEOUT_NANOS);
        strategy.quota(arrival.entryIndex())
                .reserve(arrival.workspace(), arrival.reservedTokens(), quotaDeadline)
                .thenAccept(decision -> {
                    if (decision instanceof TokenQuota.Decision.Reserved reserved) {
                        admit(arrival, reserved.reservation());
                    } else if (arrival.isWithinRate()) {
                        wrongfulRefusals++;
                    }
                });
    }

    private void admit(Arrival arrival, TokenQuota.Reservation reservation) {
        strategy.recordDemand(arrival);
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

    private void dispatch(Arrival arrival, TokenQuota.Reservation reservation, DispatchQueue.Slot slot) {
        Optional<Engine> engine = strategy.chooseEngine(arrival);
        if (engine.isEmpty()) {
            reservation.refund();
            slot.release();
            return;
        }
        runningByPool.merge(arrival.pool(), 1, Integer::sum);
        engines.run(engine.get(), arrival, () -> complete(arrival, reservation, slot));
    }

    private void complete(Arrival arrival, TokenQuota.Reservation reservation, DispatchQueue.Slot slot) {
        runningByPool.merge(arrival.pool(), -1, Integer::sum);
        reservation.settle(arrival.usedTokens());
        if (time.nowNanos() <= arrival.deadlineNanos()) {
            attainedByWorkspace.merge(arrival.workspace(), 1, Integer::sum);
        }
        slot.release();
        strategy.onCapacityChange();
    }

    /** Not capped at the number of entitled requests, unlike {@link #totalCappedAttained}. */
    private double worstWorkspaceAttainment() {
        return entitledByWorkspace.entrySet().stream()
                .mapToDouble(workspace ->
                        (double) attainedByWorkspace.getOrDefault(workspace.getKey(), 0) / workspace.getValue())
                .min()
                .orElse(1);
    }

    /** Counts at most as many requests as the workspace was entitled to. */
    private int cappedAttained(String workspace) {
        return Math.min(attainedByWorkspace.getOrDefault(workspace, 0), entitledByWorkspace.get(workspace));
    }

    /** The sum over the workspaces of {@link #cappedAttained}. */
    private int totalCappedAttained() {
        return entitledByWorkspace.keySet().stream()
                .mapToInt(this::cappedAttained)
                .sum();
    }

    private int entitledRequests() {
        return entitledByWorkspace.values().stream().mapToInt(Integer::intValue).sum();
    }
}
