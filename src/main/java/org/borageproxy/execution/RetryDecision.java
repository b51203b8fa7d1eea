package org.borageproxy.execution;

/** The action that follows an attempt. */
public enum RetryDecision {
    /** The response is complete and is delivered. */
    DELIVER,
    /** The request runs again from its start, on another backend server if possible. */
    RETRY,
    /** The stream continues after the last delivered token, on another backend server if possible. */
    RESUME,
    /** The request fails, and the caller is told that it did not run. */
    END_NOT_RUN,
    /** The request fails, and the caller is told that it may have run. */
    END_MAY_HAVE_RUN,
    /** The response that the caller is receiving ends with an error. */
    END_CUT
}
