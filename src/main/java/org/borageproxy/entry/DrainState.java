package org.borageproxy.entry;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The shutdown phase of the server for callers and the number of calls in flight. Phases only advance. Thread safe and
 * lock-free.
 */
final class DrainState {

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.SERVING);
    private final AtomicInteger inFlight = new AtomicInteger();

    /** Calls that started before the phase {@link Phase#REFUSING}; refused calls do not prolong the shutdown. */
    private final AtomicLong startedCalls = new AtomicLong();

    /** The phases of a shutdown, in order. */
    enum Phase {
        /** Calls are served. */
        SERVING,
        /** Readiness fails, and calls are served as before. */
        NOTICE,
        /** Calls are served, and connections are closed after each response. */
        CLOSING,
        /** New calls are refused. */
        REFUSING
    }

    Phase phase() {
        return phase.get();
    }

    /**
     * Advances to a later phase.
     *
     * @param later the phase; an earlier one has no effect
     */
    void advance(Phase later) {
        phase.accumulateAndGet(later, (current, next) -> next.compareTo(current) > 0 ? next : current);
    }

    boolean isClosingConnections() {
        return phase.get().compareTo(Phase.CLOSING) >= 0;
    }

    void callStarted() {
        inFlight.incrementAndGet();
        if (phase.get() != Phase.REFUSING) {
            startedCalls.incrementAndGet();
        }
    }

    long startedCalls() {
        return startedCalls.get();
    }

    void callEnded() {
        inFlight.decrementAndGet();
    }

    int inFlight() {
        return inFlight.get();
    }
}
