package org.borageproxy.membership;

import java.util.List;

/**
 * Events of the prefix cache of a backend server. They arrive late and with gaps, so they are only a hint for routing.
 * Immutable and thread safe.
 *
 * @param server the backend server
 * @param incarnation the incarnation of the backend server
 * @param events the events
 */
public record CacheEvents(BackendServerName server, long incarnation, List<CacheEvent> events) {

    /** Copies the events defensively. */
    public CacheEvents {
        events = List.copyOf(events);
    }

    /**
     * Storage or eviction of a prompt prefix.
     *
     * @param sequence increases with each event of one incarnation; a gap means lost events
     * @param stored whether the prefix was stored; otherwise it was evicted
     * @param prefix the digest of the prefix
     */
    public record CacheEvent(long sequence, boolean stored, String prefix) {}

    /** Receives cache events. Implementations are thread safe and do not block. */
    @FunctionalInterface
    public interface Listener {

        /**
         * Called with the events of one message.
         *
         * @param events the events
         */
        void onCacheEvents(CacheEvents events);

        /** Stateless listeners. */
        enum NoOp implements Listener {
            /** Ignores all events. */
            INSTANCE;

            @Override
            public void onCacheEvents(CacheEvents events) {
                // No operation.
            }
        }
    }
}
