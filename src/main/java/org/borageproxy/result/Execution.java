package org.borageproxy.result;

/** What is known of a request's execution on a backend server. */
public enum Execution {
    /** No part of the request reached a backend server. */
    NOT_RUN("not-run"),
    /** A backend server may have run the request, wholly or in part. */
    MAY_HAVE_RUN("may-have-run"),
    /** A backend server ran the request and its whole answer follows. */
    ANSWERED("answered");

    /** The word that stands in the response header. */
    private final String headerValue;

    /**
     * Creates a value.
     *
     * @param headerValue the word that stands in the response header
     */
    Execution(String headerValue) {
        this.headerValue = headerValue;
    }

    /**
     * Returns the word that stands in the {@code borageproxy-outcome} response header.
     *
     * @return the header's value
     */
    public String headerValue() {
        return headerValue;
    }
}
