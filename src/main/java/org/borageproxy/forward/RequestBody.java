package org.borageproxy.forward;

import org.borageproxy.buffer.Reservation;

/**
 * Body of a request, and the reservation that accounts for it. The bytes are unreachable once the reservation was
 * released through {@link #release}, whatever still refers to the request: timers, handlers of the caller's connection
 * and idle connections to servers may do so for long. Not thread safe; confined to the event loop of the request.
 */
final class RequestBody {

    private static final byte[] RELEASED = {};

    private final int length;
    private final Reservation reservation;
    private byte[] bytes;

    /**
     * Creates a body.
     *
     * @param bytes the whole body
     * @param reservation holds its bytes
     */
    RequestBody(byte[] bytes, Reservation reservation) {
        this.length = bytes.length;
        this.reservation = reservation;
        this.bytes = bytes;
    }

    /** Returns the size of the body, also after the release. */
    int length() {
        return length;
    }

    /** Returns the body, which must not be modified or kept beyond the release. */
    byte[] bytes() {
        if (bytes == RELEASED) {
            throw new IllegalStateException("Body was released");
        }
        return bytes;
    }

    Reservation reservation() {
        return reservation;
    }

    /** Drops the body and returns all memory of the request to the account; further calls have no effect. */
    void release() {
        bytes = RELEASED;
        reservation.release();
    }
}
