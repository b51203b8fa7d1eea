package org.borageproxy.forward;

/** Why a request gets an answer of borageproxy's own, with the status of that answer. */
public enum RefusalReason {
    /** No publication is known yet. */
    NO_PUBLICATION(503, "no-publication"),
    /** No route has the host and the path. */
    NO_ROUTE(404, "no-route"),
    /** The key is missing or unknown. */
    KEY_REFUSED(401, "key-refused"),
    /** The body exceeds the limit. */
    BODY_TOO_LARGE(413, "body-too-large"),
    /** The workspace has spent its rate. */
    RATE_SPENT(429, "rate-spent"),
    /** No backend server can run the request before its deadline. */
    NO_CAPACITY(503, "no-capacity"),
    /** No backend server of the service is known. */
    NO_SERVER(503, "no-server"),
    /** No backend server holds the model or the adapter, and none will in time. */
    MODEL_ABSENT(503, "model-absent"),
    /** Every backend server that was asked refused the request without running it. */
    REFUSED_BY_SERVERS(503, "refused-by-servers"),
    /** The time was over before the request was sent. */
    EXPIRED_UNSENT(503, "expired-unsent"),
    /** The VM is shutting down. */
    STOPPING(503, "stopping"),
    /** The request may have run and its answer was lost. */
    ANSWER_LOST(502, "answer-lost"),
    /** The time was over while a backend server had the request. */
    EXPIRED(504, "expired"),
    /** Backend servers ended when they ran the request. */
    QUARANTINED(502, "quarantined");

    private final int status;
    private final String code;

    RefusalReason(int status, String code) {
        this.status = status;
        this.code = code;
    }

    /**
     * Returns the status of the answer.
     *
     * @return the HTTP status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the reason as logs and metrics name it.
     *
     * @return the code
     */
    public String code() {
        return code;
    }
}
