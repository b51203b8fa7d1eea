package org.borageproxy.event;

import java.time.InstantSource;

/**
 * A hybrid logical clock. It follows the wall clock, and each reading is greater than all earlier readings and all
 * observed timestamps, also when the wall clock is set back. Thread safe: guarded by the monitor of this object, under
 * which no other lock is acquired.
 */
public final class HybridClock {

    private final InstantSource wallClock;
    /** The greatest timestamp returned or observed so far; guarded by this object's monitor. */
    private HybridTimestamp lastTimestamp = HybridTimestamp.ZERO;

    /**
     * Creates a clock.
     *
     * @param wallClock the wall clock to follow; may jump in either direction
     */
    public HybridClock(InstantSource wallClock) {
        this.wallClock = wallClock;
    }

    /**
     * Returns a new timestamp for a local event or a message to be sent.
     *
     * @return a timestamp greater than all that were returned or observed before
     */
    public synchronized HybridTimestamp tick() {
        lastTimestamp = successorOf(lastTimestamp);
        return lastTimestamp;
    }

    /**
     * Advances the clock so that later readings are greater than the timestamp of a received message.
     *
     * @param received the timestamp of the message
     */
    public synchronized void observe(HybridTimestamp received) {
        if (received.compareTo(lastTimestamp) > 0) {
            lastTimestamp = received;
        }
    }

    /**
     * Returns the least timestamp that is greater than another and not before the wall clock.
     *
     * @param previous the timestamp to exceed
     * @return the wall clock's time if it is later, otherwise the same millisecond with the next counter
     */
    private HybridTimestamp successorOf(HybridTimestamp previous) {
        long now = wallClock.millis();
        if (now > previous.millis()) {
            return new HybridTimestamp(now, 0);
        }
        return new HybridTimestamp(previous.millis(), previous.counter() + 1);
    }
}
