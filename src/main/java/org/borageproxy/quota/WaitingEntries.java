package org.borageproxy.quota;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The entries that wait for tokens of one workspace, in the order of their first request. Not thread safe. */
final class WaitingEntries {

    /** Time for which an entry keeps its position after it should have polled again, in nanoseconds. */
    private static final long GRACE_NANOS = 500_000_000L;

    /** Positions by session, in order. */
    private final Map<String, Position> positions = new LinkedHashMap<>();

    /**
     * A position in the queue.
     *
     * @param neededTokens the tokens that the entry waits for
     * @param expiresAtNanos when the position is lost unless the entry polls again
     */
    private record Position(long neededTokens, long expiresAtNanos) {}

    /**
     * Returns the tokens reserved for the entries ahead of a session.
     *
     * @param session the session; one without a position counts as last
     * @return the tokens
     */
    long tokensBefore(String session) {
        long total = 0;
        for (Map.Entry<String, Position> position : positions.entrySet()) {
            if (position.getKey().equals(session)) {
                return total;
            }
            total += position.getValue().neededTokens();
        }
        return total;
    }

    /**
     * Appends a session, or updates it at its present position.
     *
     * @param session the session
     * @param neededTokens the tokens that it waits for
     * @param nextPollAtNanos when it is expected to poll again
     */
    void putOrExtend(String session, long neededTokens, long nextPollAtNanos) {
        positions.put(session, new Position(neededTokens, nextPollAtNanos + GRACE_NANOS));
    }

    /** Removes a session. */
    void remove(String session) {
        positions.remove(session);
    }

    /** Removes the sessions that did not poll again in time. */
    void expire(long nowNanos) {
        Iterator<Position> remaining = positions.values().iterator();
        while (remaining.hasNext()) {
            if (nowNanos - remaining.next().expiresAtNanos() >= 0) {
                remaining.remove();
            }
        }
    }

    /** Returns whether no entry waits. */
    boolean isEmpty() {
        return positions.isEmpty();
    }
}
