package org.borageproxy.wire;

/**
 * Thrown if the target of a connection through another VM refused that VM's connection, as if nothing listened there.
 */
public final class StreamRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    StreamRefusedException(String message) {
        super(message);
    }
}
