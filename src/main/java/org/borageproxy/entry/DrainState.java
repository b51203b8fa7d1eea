package org.borageproxy.entry;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Where the callers' interface stands between serving and stopped, and how many calls are in flight. Phases go only
 * forwards. Thread safe without locks.
 */
final class DrainState {

    /** The phase. */
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.SERVING);
    /** The calls in flight. */
    private final AtomicInteger inFlight = new AtomicInteger();

    /** The calls that began before new ones were refused. */
    private final AtomicLong startedCalls = new AtomicLong();

    /** The phases of the callers' interface. */
    enum Phase {
        /** Serves as usual. */
        SERVING,
        /** Reports that it is not ready and serves as usual. */
        NOTICE,
        /** Serves and closes connections after each answer. */
        CLOSING,
        /** Refuses new calls. */
        REFUSING
    }

    /**
     * Returns the phase.
     *
     * @return the phase
     */
    Phase phase() {
        return phase.get();
    }

    /**
     * Goes on to a later phase.
     *
     * @param later the phase; an earlier one has no effect
     */
    void advance(Phase later) {
        phase.accumulateAndGet(later, (current, next) -> next.compareTo(current) > 0 ? next : current);
    }

    /**
     * Tells whether connections are closed after each answer.
     *
     * @return {@code true} if they are
     */
    boolean isClosingConnections() {
        return phase.get().compareTo(Phase.CLOSING) >= 0;
    }

    /** Counts a call that begins. */
    void callStarted() {
        inFlight.incrementAndGet();
        if (phase.get() != Phase.REFUSING) {
            startedCalls.incrementAndGet();
        }
    }

    /**
     * Returns the calls that began before new ones were refused.
     *
     * @return the number
     */
    long startedCalls() {
        return startedCalls.get();
    }

    /** Counts a call that ended. */
    void callEnded() {
        inFlight.decrementAndGet();
    }

    /**
     * Returns the calls in flight.
     *
     * @return the number
     */
    int inFlight() {
        return inFlight.get();
    }
}
