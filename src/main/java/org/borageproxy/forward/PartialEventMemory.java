package org.borageproxy.forward;

import org.borageproxy.buffer.Reservation;

/**
 * Accounts for the memory of the event of a stream that has not ended yet: a faulty server may send one without end.
 * Not thread safe; confined to one event loop.
 */
final class PartialEventMemory {

    /** Size up to which a partial event is kept whatever room there is: events of sound servers are smaller. */
    private static final int SMALL_EVENT_BYTES = 16 << 10;

    private final Reservation reservation;
    private int reservedBytes;

    /**
     * Creates an account of nothing.
     *
     * @param reservation the reservation of the request
     */
    PartialEventMemory(Reservation reservation) {
        this.reservation = reservation;
    }

    /**
     * Sets the memory that the partial event takes up.
     *
     * @param bytes the memory in bytes
     * @return whether the event may be kept
     */
    boolean hold(int bytes) {
        int change = bytes - reservedBytes;
        reservedBytes = bytes;
        if (change <= 0) {
            reservation.shrink(-change);
            return true;
        }
        return reservation.record(change) || bytes <= SMALL_EVENT_BYTES;
    }
}
