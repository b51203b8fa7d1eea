package org.borageproxy.execution;

/** What follows an attempt. */
public enum RetryDecision {
    /** The answer is whole and is delivered. */
    DELIVER,
    /** The request is run again from its start on another backend server. */
    RETRY,
    /** The stream continues on another backend server after the last token that was delivered. */
    RESUME,
    /** The caller is told that the request did not run. */
    END_NOT_RUN,
    /** The caller is told that the request may have run. */
    END_MAY_HAVE_RUN,
    /** The answer that the caller is receiving ends visibly cut. */
    END_CUT
}
