package org.borageproxy.forward;

/** Reasons for which borageproxy answers a request itself, with the HTTP status of the answer. */
public enum RefusalReason {
    /** No publication is available yet. */
    NO_PUBLICATION(503, "no-publication"),
    /** The publication in force does not allow the request and a newer one may be due, or a newer one is overdue. */
    OLD_PUBLICATION(503, "old-publication"),
    /** No route matches the host and path. */
    NO_ROUTE(404, "no-route"),
    /** The API key is missing or unknown. */
    KEY_REFUSED(401, "key-refused"),
    /** The request body exceeds the size limit. */
    BODY_TOO_LARGE(413, "body-too-large"),
    /** The body was not complete at the deadline of the request. */
    BODY_INCOMPLETE(408, "body-incomplete"),
    /** This VM has no memory for the request in time, or needs it for requests whose refusal costs callers more. */
    BUFFER_FULL(503, "buffer-full"),
    /** The workspace has exhausted its token rate. */
    RATE_SPENT(429, "rate-spent"),
    /** No backend server has capacity for the request in time, or none could be reached. */
    NO_CAPACITY(503, "no-capacity"),
    /** No backend server of the service, or none that can continue the stream, accepts requests. */
    NO_SERVER(503, "no-server"),
    /** It is not known which software version began the stream that the request resumes. */
    STREAM_UNKNOWN(503, "stream-unknown"),
    /** No backend server has the model or adapter loaded, and none will have it in time. */
    MODEL_ABSENT(503, "model-absent"),
    /** Every backend server that the request was sent to refused it without running it. */
    REFUSED_BY_SERVERS(503, "refused-by-servers"),
    /** The deadline passed before any server could have started the request. */
    EXPIRED_UNSENT(503, "expired-unsent"),
    /** The VM is shutting down. */
    STOPPING(503, "stopping"),
    /** The request may have run, but its answer was lost. */
    ANSWER_LOST(502, "answer-lost"),
    /** The deadline passed after the request was sent to a backend server. */
    EXPIRED(504, "expired"),
    /** Backend servers crashed while they ran the request. */
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
     * Returns the code of the reason in answers, logs and metrics.
     *
     * @return the code
     */
    public String code() {
        return code;
    }
}
