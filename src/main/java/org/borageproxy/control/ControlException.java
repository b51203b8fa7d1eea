package org.borageproxy.control;

import org.borageproxy.result.ResultCode;

/** Says that the control group did not do what was asked for, or that this is unknown. Immutable. */
public final class ControlException extends RuntimeException {

    /** The result. */
    private final transient ResultCode code;

    /**
     * Creates an exception.
     *
     * @param code the result
     */
    public ControlException(ResultCode code) {
        super(code.sentence(), null, false, false);
        this.code = code;
    }

    /**
     * Returns the result.
     *
     * @return the result
     */
    public ResultCode code() {
        return code;
    }
}
