package org.borageproxy.execution;

/** How much of a response the caller has received. */
public enum SentOutput {
    /** No byte of the response was sent. */
    NONE,
    /** Tokens were sent, and another backend server can continue after them. */
    RESUMABLE,
    /** Bytes were sent that no other backend server can continue. */
    OPAQUE
}
