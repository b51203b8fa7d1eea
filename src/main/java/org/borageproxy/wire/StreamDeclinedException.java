package org.borageproxy.wire;

import com.google.protobuf.ByteString;

/** Thrown if a VM does not connect another one to a target, for a reason that the other one can read. */
public final class StreamDeclinedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient ByteString reason;

    /**
     * Creates an exception.
     *
     * @param reason what the VM that asks for the connection is told
     */
    public StreamDeclinedException(ByteString reason) {
        super("The connection was declined");
        this.reason = reason;
    }

    /**
     * Returns the reason.
     *
     * @return the message of the VM that declined
     */
    public ByteString reason() {
        return reason;
    }
}
