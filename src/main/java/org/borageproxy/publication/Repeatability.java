package org.borageproxy.publication;

/** How often a request of a route may run. */
public enum Repeatability {
    /** The request may run any number of times. */
    IDEMPOTENT(true, false),
    /** The request may run once. */
    ONCE(false, false),
    /** The request is answered by events and may run once. */
    STREAM(false, true),
    /** The request is answered by events and may go on elsewhere after the last event that came. */
    RESUMABLE_STREAM(true, true);

    private final boolean repeatable;
    private final boolean stream;

    Repeatability(boolean repeatable, boolean stream) {
        this.repeatable = repeatable;
        this.stream = stream;
    }

    /**
     * Tells whether a request that may have run may be sent again.
     *
     * @return {@code true} if a second run does no harm
     */
    public boolean isRepeatable() {
        return repeatable;
    }

    /**
     * Tells whether answers are series of events.
     *
     * @return {@code true} for streams
     */
    public boolean isStream() {
        return stream;
    }
}
