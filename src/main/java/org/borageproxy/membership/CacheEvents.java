package org.borageproxy.membership;

import java.util.List;

/**
 * Events about the prompt prefixes that a backend server keeps. They arrive late and with gaps, so they are only a hint
 * for routing. Immutable and thread safe.
 *
 * @param server the backend server
 * @param incarnation its incarnation
 * @param events the events
 */
public record CacheEvents(BackendServerName server, long incarnation, List<CacheEvent> events) {

    /** Copies the events. */
    public CacheEvents {
        events = List.copyOf(events);
    }

    /**
     * One event.
     *
     * @param sequence rises with each event of one incarnation; a gap means lost events
     * @param stored whether the prefix was stored; otherwise it was evicted
     * @param prefix the digest of the prefix
     */
    public record CacheEvent(long sequence, boolean stored, String prefix) {}

    /** Takes cache events. Implementations are safe for use by any thread and do not block. */
    @FunctionalInterface
    public interface Listener {

        /**
         * Takes events.
         *
         * @param events the events
         */
        void received(CacheEvents events);

        /** Listeners without state. */
        enum NoOp implements Listener {
            /** Drops every event. */
            INSTANCE;

            @Override
            public void received(CacheEvents events) {
                // Dropped by design of the no-operation variant.
            }
        }
    }
}
