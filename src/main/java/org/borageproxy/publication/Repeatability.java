package org.borageproxy.publication;

/** Whether a request of a route may run more than once, and whether its response is a stream of events. */
public enum Repeatability {
    /** The request may run any number of times. */
    IDEMPOTENT(true, false),
    /** The request must not run more than once. */
    ONCE(false, false),
    /** The response is a stream of events; the request must not run more than once. */
    STREAM(false, true),
    /**
     * The response is a stream of events; after a failure, another backend server can continue it after the last
     * received event.
     */
    RESUMABLE_STREAM(true, true);

    private final boolean repeatable;
    private final boolean stream;

    Repeatability(boolean repeatable, boolean stream) {
        this.repeatable = repeatable;
        this.stream = stream;
    }

    /**
     * Returns whether a request may be sent again after an attempt that may have run.
     *
     * @return {@code true} if a second run does no harm
     */
    public boolean isRepeatable() {
        return repeatable;
    }

    /**
     * Returns whether the response is a stream of events.
     *
     * @return {@code true} for streams
     */
    public boolean isStream() {
        return stream;
    }
}
