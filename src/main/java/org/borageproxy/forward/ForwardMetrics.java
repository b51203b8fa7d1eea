package org.borageproxy.forward;

/** Metrics of forwarded requests. All methods are called on the event loop of the requests. */
public interface ForwardMetrics {

    /**
     * Records the end of a request.
     *
     * @param route the route's name; an empty string if no route matched
     * @param outcome the outcome, as in the request log
     * @param millis the time since its arrival, in milliseconds
     */
    void recordRequest(String route, String outcome, double millis);

    /**
     * Records the end of an attempt at a backend server.
     *
     * @param service the service
     * @param outcome the HTTP status, or {@code lost} without a usable answer
     * @param millis the time since the request was sent to the server, in milliseconds; zero if it was not sent
     */
    void recordAttempt(String service, String outcome, double millis);

    /** Discards all metrics. */
    enum NoOp implements ForwardMetrics {
        /** The only instance. */
        INSTANCE;

        @Override
        public void recordRequest(String route, String outcome, double millis) {
            // Metrics are discarded.
        }

        @Override
        public void recordAttempt(String service, String outcome, double millis) {
            // Metrics are discarded.
        }
    }
}
