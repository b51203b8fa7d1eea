package org.borageproxy.wire;

/** Says that no answer came from another VM, so that it is unknown whether the VM handled the message. Immutable. */
public final class UnreachableException extends RuntimeException {

    /**
     * Creates an exception.
     *
     * @param message what was tried
     */
    public UnreachableException(String message) {
        super(message, null, false, false);
    }
}
