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
 * Reads the states of engines into the ledger, each engine by one request at a time. Confined to the owner's executor.
 */
final class EngineReader {

    /** The shortest time between two reads of an engine. */
    private static final Duration SHORTEST_INTERVAL = Duration.ofMillis(500);
    /** The shortest time between the reads of two engines, on average. */
    private static final Duration INTERVAL_PER_ENGINE = Duration.ofMillis(2);

    /** What the owner works with. */
    private final PlacementDependencies parts;
    /** Runs one task at a time. */
    private final Executor executor;
    /** What may be in memory. */
    private final Ledger ledger;
    /** Takes the numbers of orders that a state resolves. */
    private final Consumer<List<Long>> resolved;
    /** The engines that are being read. */
    private final Set<BackendServerName> reading = new HashSet<>();
    /** The engines whose last read failed. */
    private final Set<BackendServerName> failing = new HashSet<>();
    /** When each engine is read next. */
    private final Map<BackendServerName, Deadline> readAt = new HashMap<>();

    /**
     * Creates a reader that has read nothing.
     *
     * @param parts what the owner works with
     * @param executor runs one task at a time
     * @param ledger what may be in memory
     * @param resolved takes the numbers of orders that a state resolves
     */
    EngineReader(PlacementDependencies parts, Executor executor, Ledger ledger, Consumer<List<Long>> resolved) {
        this.parts = parts;
        this.executor = executor;
        this.ledger = ledger;
        this.resolved = resolved;
    }

    /**
     * Reads the engines whose time has come.
     *
     * @param engines the engines
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    void readDue(List<BackendServer> engines, long nowNanos) {
        Set<BackendServerName> present = new HashSet<>();
        for (BackendServer engine : engines) {
            present.add(engine.name());
            Deadline due = readAt.get(engine.name());
            if (!reading.contains(engine.name()) && (due == null || due.hasPassed(nowNanos))) {
                read(engine, nowNanos, readInterval(engines.size()));
            }
        }
        ledger.retainStatesOf(present);
        failing.retainAll(present);
        readAt.keySet().retainAll(present);
    }

    /**
     * Returns the time between two reads of an engine, which grows with the fleet so that the number of reads doesn't.
     *
     * @param engines the number of engines
     * @return the time
     */
    static Duration readInterval(int engines) {
        Duration shared = INTERVAL_PER_ENGINE.multipliedBy(engines);
        return shared.compareTo(SHORTEST_INTERVAL) > 0 ? shared : SHORTEST_INTERVAL;
    }

    /**
     * Reads an engine at the next opportunity.
     *
     * @param engine the engine
     */
    void readAtNextTick(BackendServerName engine) {
        readAt.remove(engine);
    }

    /**
     * Reads an engine.
     *
     * @param engine the engine
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @param interval the time until the next read
     */
    private void read(BackendServer engine, long nowNanos, Duration interval) {
        reading.add(engine.name());
        readAt.put(engine.name(), Deadline.after(nowNanos, interval));
        parts.orderClient()
                .fetchState(engine)
                .whenCompleteAsync((state, failure) -> take(engine, state, nowNanos), executor);
    }

    /**
     * Takes the answer of an engine.
     *
     * @param engine the engine
     * @param state its state, empty or {@code null} if the read failed
     * @param requestedAtNanos when the state was asked for
     */
    private void take(BackendServer engine, Optional<EngineState> state, long requestedAtNanos) {
        reading.remove(engine.name());
        if (state == null || state.isEmpty()) {
            failing.add(engine.name());
            return;
        }
        failing.remove(engine.name());
        Ledger.StateRead read = new Ledger.StateRead(state.get(), engine.checksFencing(), requestedAtNanos);
        resolved.accept(ledger.applyState(read));
    }

    /**
     * Tells whether the last read of an engine failed.
     *
     * @param engine the engine
     * @return {@code true} if it failed
     */
    boolean isFailing(BackendServerName engine) {
        return failing.contains(engine);
    }

    /**
     * Tells whether at least one read of an engine has ended since the start of the term.
     *
     * @param engine the engine
     * @return {@code true} if one ended, well or not
     */
    boolean hasReadAttempt(BackendServerName engine) {
        return failing.contains(engine) || ledger.lastState(engine).isPresent();
    }
}
