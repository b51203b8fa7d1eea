package org.borageproxy.buffer;

/** Bytes that are held under one bound, and the open reservations under it. Not thread safe. */
final class Holding {

    /** Of a name that has no bound of its own. */
    static final Holding NONE = new Holding();

    private long bytes;
    private long expectedBytes;
    private int reservations;

    long bytes() {
        return bytes;
    }

    void add(long change) {
        if (this != NONE) {
            bytes += change;
        }
    }

    /** Returns the bytes that are held, and those of bodies that have begun and are still to come. */
    long heldOrExpectedBytes() {
        return bytes + expectedBytes;
    }

    void addExpected(long change) {
        if (this != NONE) {
            expectedBytes += change;
        }
    }

    void open() {
        reservations++;
    }

    /** Ends a reservation and returns whether it was the last one. */
    boolean close() {
        reservations--;
        return reservations == 0;
    }
}
