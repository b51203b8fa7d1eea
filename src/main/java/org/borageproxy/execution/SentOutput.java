package org.borageproxy.execution;

/** How much of an answer the caller has received. */
public enum SentOutput {
    /** No byte of the answer was sent. */
    NONE,
    /** Tokens were sent, and another backend server can continue after them. */
    RESUMABLE,
    /** Bytes were sent that no other backend server can continue. */
    OPAQUE
}
