package org.borageproxy.buffer;

import java.util.Optional;

/**
 * Bytes that one request holds in a {@link BufferAccount}. Its bytes are never negative, and none are held after the
 * release. Not thread safe; confined to the event loop of the account.
 */
public final class Reservation implements ReservationResult {

    private final BufferAccount account;
    private final BufferOwner owner;
    private final Holding workspace;
    private final Holding caller;
    private final Holding server;
    private long bytes;
    private long expectedBytes;
    private boolean isReleased;
    /** Refuses the request; empty while it must not be refused. */
    private Optional<Evictor> evictor = Optional.empty();

    /** Refuses a request that no server can have started, which must release its reservations. */
    @FunctionalInterface
    public interface Evictor {

        /**
         * Refuses the request.
         *
         * @param shortage the bound for which room is made
         */
        void refuse(Shortage shortage);
    }

    Reservation(BufferAccount account, BufferOwner owner, Holding workspace, Holding caller, Holding server) {
        this.account = account;
        this.owner = owner;
        this.workspace = workspace;
        this.caller = caller;
        this.server = server;
    }

    /**
     * Announces bytes that are still to come, so that no more bodies begin than there is room for. They are not
     * reserved; {@link #grow} takes them off.
     *
     * @param announced the number of bytes, not negative
     */
    public void expect(long announced) {
        account.expect(this, announced);
    }

    /**
     * Adds bytes to the reservation. Requests that cost their callers less may be refused to make room.
     *
     * @param added the number of bytes, not negative
     * @return the shortage if the bytes must not be buffered; the reservation is unchanged then
     */
    public Optional<Shortage> grow(long added) {
        if (isReleased) {
            throw new IllegalStateException("Reservation was released");
        }
        return account.grow(this, added);
    }

    /**
     * Adds bytes that have been received and must not be lost, even beyond a bound. The caller must stop to receive
     * while a bound is exceeded.
     *
     * @param added the number of bytes, not negative
     * @return whether all bounds of the owner hold
     */
    public boolean record(long added) {
        if (isReleased) {
            throw new IllegalStateException("Reservation was released");
        }
        return account.record(this, added);
    }

    /**
     * Returns whether all bounds of the owner hold.
     *
     * @return {@code false} while more is held under one of them than it permits
     */
    public boolean isWithinBounds() {
        return account.isWithinBounds(this);
    }

    /**
     * Returns bytes that are no longer buffered. Has no effect after the release.
     *
     * @param removed the number of bytes; more than are held count as all
     */
    public void shrink(long removed) {
        if (!isReleased) {
            account.shrink(this, Math.min(removed, bytes));
        }
    }

    /** Returns all bytes; further calls have no effect. */
    public void release() {
        if (!isReleased) {
            account.expect(this, -expectedBytes);
            account.shrink(this, bytes);
            account.remove(this);
            isReleased = true;
            evictor = Optional.empty();
        }
    }

    /**
     * Lets the account refuse the request in favour of others while no server can have started it.
     *
     * @param newEvictor refuses the request
     */
    public void allowEviction(Evictor newEvictor) {
        evictor = Optional.of(newEvictor);
    }

    /** Ends the permission to refuse the request, since a server may start it from now on. */
    public void forbidEviction() {
        evictor = Optional.empty();
    }

    Optional<Evictor> evictor() {
        return evictor;
    }

    /**
     * Returns for whom the bytes are buffered.
     *
     * @return the owner
     */
    public BufferOwner owner() {
        return owner;
    }

    /**
     * Returns the bytes that are held.
     *
     * @return the number of bytes; zero after the release
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns whether the reservation was released.
     *
     * @return {@code true} after the first release
     */
    public boolean isReleased() {
        return isReleased;
    }

    Holding holding(Shortage.Bound bound) {
        return switch (bound) {
            case WORKSPACE -> workspace;
            case CALLER -> caller;
            case SERVER -> server;
            case TOTAL -> throw new IllegalArgumentException("The total belongs to no reservation");
        };
    }

    long expectedBytes() {
        return expectedBytes;
    }

    void addExpected(long change) {
        expectedBytes += change;
        workspace.addExpected(change);
        caller.addExpected(change);
        server.addExpected(change);
    }

    void add(long change) {
        bytes += change;
        workspace.add(change);
        caller.add(change);
        server.add(change);
    }
}
