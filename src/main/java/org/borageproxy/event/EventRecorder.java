package org.borageproxy.event;

/** Takes the events of a process. Implementations are safe for use by any thread and do not block. */
@FunctionalInterface
public interface EventRecorder {

    /**
     * Records an event.
     *
     * @param event the event
     */
    void record(Event event);

    /** Recorders without state. */
    enum NoOp implements EventRecorder {
        /** Drops every event. */
        INSTANCE;

        @Override
        public void record(Event event) {
            // Dropped by design of the no-operation variant.
        }
    }
}
