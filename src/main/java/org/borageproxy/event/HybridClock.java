package org.borageproxy.event;

import java.time.InstantSource;

/**
 * A hybrid logical clock: it follows the wall clock, never goes back and always lies after every timestamp it has
 * observed. Safe for use by any thread; guarded by its own monitor, under which no other lock is taken.
 */
public final class HybridClock {

    /** The wall clock. */
    private final InstantSource wallClock;
    /** The reading that was given or observed last; guarded by this object's monitor. */
    private HybridTimestamp latest = HybridTimestamp.ZERO;

    /**
     * Creates a clock.
     *
     * @param wallClock the wall clock to follow
     */
    public HybridClock(InstantSource wallClock) {
        this.wallClock = wallClock;
    }

    /**
     * Reads the clock.
     *
     * @return a timestamp after all earlier ones
     */
    public synchronized HybridTimestamp tick() {
        latest = successorOf(latest);
        return latest;
    }

    /**
     * Moves the clock past a timestamp that came with a message.
     *
     * @param received the timestamp of the message
     */
    public synchronized void observe(HybridTimestamp received) {
        if (received.compareTo(latest) > 0) {
            latest = received;
        }
    }

    /**
     * Returns the timestamp that follows another.
     *
     * @param previous the timestamp to follow
     * @return the wall clock's time if it lies later, otherwise the next counter
     */
    private HybridTimestamp successorOf(HybridTimestamp previous) {
        long now = wallClock.millis();
        if (now > previous.millis()) {
            return new HybridTimestamp(now, 0);
        }
        return new HybridTimestamp(previous.millis(), previous.counter() + 1);
    }
}
