package org.borageproxy.buffer;

import java.time.Duration;

import org.borageproxy.time.Deadline;

/**
 * What one caller has not taken of its answer yet. The server is read on while these bytes fit into the spool and all
 * bounds hold. Not thread safe; confined to the event loop of the account.
 */
public final class Delivery {

    /**
     * Time without progress after which a caller takes nothing. A caller that reads 1 kB/s frees the part of a send
     * buffer of 32 kB at which a connection becomes writable again within about 11 s.
     */
    static final Duration STALL_PERIOD = Duration.ofSeconds(20);

    private static final int RESUME_DIVISOR = 2;

    private final Reservation reservation;
    private final long spoolBytes;
    private final Deadline deadline;
    private Deadline stalledAt;
    private boolean isPaused;

    /**
     * Creates a delivery without bytes.
     *
     * @param reservation holds the bytes; released by {@link #end}
     * @param spoolBytes the maximum size of the spool
     * @param deadline the deadline of the request
     */
    public Delivery(Reservation reservation, long spoolBytes, Deadline deadline) {
        this.reservation = reservation;
        this.spoolBytes = spoolBytes;
        this.deadline = deadline;
        this.stalledAt = deadline;
    }

    /**
     * Records bytes that were written to the connection and not taken at once.
     *
     * @param bytes the number of bytes
     * @param nowNanos the clock reading in nanoseconds
     */
    public void recordQueued(long bytes, long nowNanos) {
        if (reservation.bytes() == 0) {
            stalledAt = Deadline.after(nowNanos, STALL_PERIOD);
        }
        boolean isWithinBounds = reservation.record(bytes);
        isPaused |= !isWithinBounds || reservation.bytes() > spoolBytes;
    }

    /**
     * Records bytes that the caller has taken.
     *
     * @param bytes the number of bytes
     * @param nowNanos the clock reading in nanoseconds
     * @return whether reading from the server, which was paused before, may resume
     */
    public boolean recordTaken(long bytes, long nowNanos) {
        stalledAt = Deadline.after(nowNanos, STALL_PERIOD);
        reservation.shrink(bytes);
        boolean hasRoom = reservation.bytes() == 0
                || reservation.bytes() <= spoolBytes / RESUME_DIVISOR && reservation.isWithinBounds();
        if (isPaused && hasRoom) {
            isPaused = false;
            return true;
        }
        return false;
    }

    /**
     * Returns whether reading from the server must pause.
     *
     * @return {@code true} while the spool or a share is full
     */
    public boolean isPaused() {
        return isPaused;
    }

    /**
     * Returns the bytes that the caller has not taken.
     *
     * @return the number of bytes
     */
    public long unsentBytes() {
        return reservation.bytes();
    }

    /**
     * Returns when the caller is disconnected if it takes nothing until then.
     *
     * @return the deadline of the request, or the end of the stall period if that is later
     */
    public Deadline disconnectAt() {
        return deadline.compareTo(stalledAt) > 0 ? deadline : stalledAt;
    }

    /** Returns the bytes to the account. */
    public void end() {
        reservation.release();
    }
}
