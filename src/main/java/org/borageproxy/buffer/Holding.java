package org.borageproxy.buffer;

/** Bytes that are held under one bound, and the open reservations under it. Not thread safe. */
final class Holding {

    /** Of a name that has no bound of its own. */
    static final Holding NONE = new Holding();

    private long bytes;
    private int reservations;

    long bytes() {
        return bytes;
    }

    void add(long change) {
        if (this != NONE) {
            bytes += change;
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
