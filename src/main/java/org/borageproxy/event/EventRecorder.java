package org.borageproxy.event;

/** Receives the events of a process. Implementations are thread safe and do not block. */
@FunctionalInterface
public interface EventRecorder {

    /**
     * Records an event.
     *
     * @param event the event
     */
    void record(Event event);

    /** A recorder without effect. */
    enum NoOp implements EventRecorder {
        /** Discards every event. */
        INSTANCE;

        @Override
        public void record(Event event) {
            // Discards the event.
        }
    }
}
