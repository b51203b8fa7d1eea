package org.borageproxy.wire;

/**
 * Signals that another VM did not answer a message. The VM may have handled the message nevertheless. Without stack
 * trace, since it is part of normal operation. Immutable.
 */
public final class UnreachableException extends RuntimeException {

    /**
     * Creates an exception.
     *
     * @param message the cause and the VM concerned
     */
    public UnreachableException(String message) {
        super(message, null, false, false);
    }
}
