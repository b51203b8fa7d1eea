package org.borageproxy.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import org.borageproxy.engine.EngineState;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.time.Deadline;

/**
 * Reads the states of engines into the ledger, with at most one request per engine at a time. Confined to the executor
 * of the placement owner.
 */
final class EngineReader {

    private static final Duration MIN_READ_INTERVAL = Duration.ofMillis(500);
    /** Makes the interval grow with the fleet, so that the rate of all reads stays bounded. */
    private static final Duration READ_INTERVAL_PER_ENGINE = Duration.ofMillis(2);

    private final PlacementDependencies dependencies;
    private final Executor executor;
    private final Ledger ledger;
    /** Receives the numbers of the orders that a state resolves. */
    private final Consumer<List<Long>> resolvedConsumer;

    private final Set<BackendServerName> readsInFlight = new HashSet<>();
    private final Set<BackendServerName> failedReads = new HashSet<>();
    private final Map<BackendServerName, Deadline> nextReads = new HashMap<>();

    /**
     * Creates a reader that has read no engine.
     *
     * @param dependencies the collaborators of the placement owner
     * @param executor runs tasks one at a time
     * @param ledger records the states
     * @param resolvedConsumer receives the numbers of the orders that a state resolves
     */
    EngineReader(
            PlacementDependencies dependencies,
            Executor executor,
            Ledger ledger,
            Consumer<List<Long>> resolvedConsumer) {
        this.dependencies = dependencies;
        this.executor = executor;
        this.ledger = ledger;
        this.resolvedConsumer = resolvedConsumer;
    }

    /**
     * Starts the reads that are due, and forgets engines that are no longer known.
     *
     * @param engines the engines that are known
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    void readDue(List<BackendServer> engines, long nowNanos) {
        Set<BackendServerName> knownEngines = new HashSet<>();
        for (BackendServer engine : engines) {
            knownEngines.add(engine.name());
            Deadline nextRead = nextReads.get(engine.name());
            if (!readsInFlight.contains(engine.name()) && (nextRead == null || nextRead.hasPassed(nowNanos))) {
                read(engine, nowNanos, readInterval(engines.size()));
            }
        }
        ledger.retainStatesOf(knownEngines);
        failedReads.retainAll(knownEngines);
        nextReads.keySet().retainAll(knownEngines);
    }

    /**
     * Returns the time between two reads of an engine. It grows with the fleet, so that the rate of all reads stays
     * bounded.
     *
     * @param engines the number of engines
     * @return the time
     */
    static Duration readInterval(int engines) {
        Duration scaled = READ_INTERVAL_PER_ENGINE.multipliedBy(engines);
        return scaled.compareTo(MIN_READ_INTERVAL) > 0 ? scaled : MIN_READ_INTERVAL;
    }

    /**
     * Makes an engine due for a read at the next tick.
     *
     * @param engine the engine
     */
    void readAtNextTick(BackendServerName engine) {
        nextReads.remove(engine);
    }

    private void read(BackendServer engine, long nowNanos, Duration interval) {
        readsInFlight.add(engine.name());
        nextReads.put(engine.name(), Deadline.after(nowNanos, interval));
        dependencies
                .orderClient()
                .fetchState(engine)
                .whenCompleteAsync((state, failure) -> onRead(engine, state, nowNanos), executor);
    }

    private void onRead(BackendServer engine, Optional<EngineState> state, long requestedAtNanos) {
        readsInFlight.remove(engine.name());
        if (state == null || state.isEmpty()) {
            failedReads.add(engine.name());
            return;
        }
        failedReads.remove(engine.name());
        Ledger.StateRead read = new Ledger.StateRead(state.get(), engine.checksFencing(), requestedAtNanos);
        resolvedConsumer.accept(ledger.applyState(read));
    }

    /**
     * Returns whether the last read of an engine failed.
     *
     * @param engine the engine
     * @return {@code true} if it failed
     */
    boolean isFailing(BackendServerName engine) {
        return failedReads.contains(engine);
    }

    /**
     * Returns whether at least one read of an engine has completed since the start of the term.
     *
     * @param engine the engine
     * @return {@code true} if a read has succeeded or failed
     */
    boolean hasReadAttempt(BackendServerName engine) {
        return failedReads.contains(engine) || ledger.lastState(engine).isPresent();
    }
}
