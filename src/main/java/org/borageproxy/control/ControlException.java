package org.borageproxy.control;

import org.borageproxy.result.ResultCode;

/** Thrown if the control group refused a command or its outcome is unknown. Has no stack trace. Immutable. */
public final class ControlException extends RuntimeException {

    private final transient ResultCode code;

    /**
     * Creates an exception.
     *
     * @param code the result; its sentence becomes the message
     */
    public ControlException(ResultCode code) {
        super(code.sentence(), null, false, false);
        this.code = code;
    }

    /**
     * Returns the result code.
     *
     * @return the result code
     */
    public ResultCode code() {
        return code;
    }
}
