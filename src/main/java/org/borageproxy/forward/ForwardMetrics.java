package org.borageproxy.forward;

/** Takes the figures of forwarded requests. Implementations are used by the event loop of the requests. */
public interface ForwardMetrics {

    /**
     * Counts the end of a request.
     *
     * @param route the route's name, empty if none was found
     * @param outcome how it ended
     * @param millis the time since its arrival, in milliseconds
     */
    void recordRequest(String route, String outcome, double millis);

    /**
     * Counts an attempt at a backend server.
     *
     * @param service the service
     * @param outcome how it ended
     * @param millis the time to the answer or the first event, in milliseconds
     */
    void recordAttempt(String service, String outcome, double millis);

    /** Counts nothing. */
    enum NoOp implements ForwardMetrics {
        /** The only instance. */
        INSTANCE;

        @Override
        public void recordRequest(String route, String outcome, double millis) {
            // Nothing is counted.
        }

        @Override
        public void recordAttempt(String service, String outcome, double millis) {
            // Nothing is counted.
        }
    }
}
