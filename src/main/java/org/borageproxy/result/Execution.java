package org.borageproxy.result;

/**
 * Whether a backend server executed a request, as far as this VM can determine. Callers use it to decide whether a
 * request that is not idempotent may be repeated.
 */
public enum Execution {
    /** No backend server executed any part of the request. */
    NOT_RUN("not-run"),
    /** A backend server may have executed the request wholly or in part. */
    MAY_HAVE_RUN("may-have-run"),
    /** A backend server executed the request and its response is complete. */
    ANSWERED("answered");

    private final String headerValue;

    /**
     * Creates a constant.
     *
     * @param headerValue the value of the response header
     */
    Execution(String headerValue) {
        this.headerValue = headerValue;
    }

    /**
     * Returns the value of the {@code borageproxy-outcome} response header, which stays the same in all releases.
     *
     * @return the header's value
     */
    public String headerValue() {
        return headerValue;
    }
}
