package org.borageproxy.quota;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The entries that wait for tokens of one workspace, in the order in which they first asked. Not thread safe. */
final class WaitingEntries {

    /** How long an entry keeps its place after the moment at which it was told to ask again, in nanoseconds. */
    private static final long GRACE_NANOS = 500_000_000L;

    /** The waiting entries by session, in order. */
    private final Map<String, Place> places = new LinkedHashMap<>();

    /**
     * A place in the order.
     *
     * @param needed the tokens that the entry waits for
     * @param keptUntilNanos when the place is lost
     */
    private record Place(long needed, long keptUntilNanos) {}

    /**
     * Returns the tokens that are kept for the entries before a session.
     *
     * @param session the session; a session without a place stands last
     * @return tokens
     */
    long tokensBefore(String session) {
        long total = 0;
        for (Map.Entry<String, Place> place : places.entrySet()) {
            if (place.getKey().equals(session)) {
                return total;
            }
            total += place.getValue().needed();
        }
        return total;
    }

    /**
     * Gives a session a place, or keeps the one it has.
     *
     * @param session the session
     * @param needed the tokens that it waits for
     * @param askAgainAtNanos when it will ask again
     */
    void putOrExtend(String session, long needed, long askAgainAtNanos) {
        places.put(session, new Place(needed, askAgainAtNanos + GRACE_NANOS));
    }

    /**
     * Removes a session.
     *
     * @param session the session
     */
    void remove(String session) {
        places.remove(session);
    }

    /**
     * Removes the sessions that did not ask again in time.
     *
     * @param nowNanos the time now
     */
    void expire(long nowNanos) {
        Iterator<Place> remaining = places.values().iterator();
        while (remaining.hasNext()) {
            if (nowNanos - remaining.next().keptUntilNanos() >= 0) {
                remaining.remove();
            }
        }
    }

    /**
     * Tells whether nobody waits.
     *
     * @return {@code true} if nobody does
     */
    boolean isEmpty() {
        return places.isEmpty();
    }
}
