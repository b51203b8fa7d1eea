package org.borageproxy.execution;

import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;

/** The outcome of one attempt to run a request on a backend server. Implementations are immutable. */
public sealed interface AttemptOutcome {

    /**
     * Returns whether the request ran, as far as it can be determined.
     *
     * @return the execution state
     */
    Execution execution();

    /** The whole response was received and validated. */
    enum Answered implements AttemptOutcome {
        /** The singleton instance. */
        INSTANCE;

        @Override
        public Execution execution() {
            return Execution.ANSWERED;
        }
    }

    /**
     * No byte of the request reached a backend server, or the backend server reported that it did not run the request.
     *
     * @param code the reason
     * @param scope whether another backend server may succeed
     */
    record NotRun(ResultCode code, Scope scope) implements AttemptOutcome {

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }
    }

    /**
     * The request was sent, but its whole response was not received.
     *
     * @param code the reason
     * @param cause how the response was lost
     */
    record MayHaveRun(ResultCode code, Cause cause) implements AttemptOutcome {

        @Override
        public Execution execution() {
            return Execution.MAY_HAVE_RUN;
        }
    }

    /** Whether another backend server may succeed. */
    enum Scope {
        /** The reason is specific to one backend server. */
        SERVER,
        /** The reason applies to the request, such as a withdrawn key; no attempt can succeed. */
        REQUEST
    }

    /** How a response was lost. */
    enum Cause {
        /** The connection closed before the response was complete. */
        CUT,
        /** The deadline passed, or the engine made no progress for too long. */
        TIMEOUT,
        /** The response was malformed, out of order, too large or belonged to another request. */
        INVALID,
        /** The backend server returned an error status that does not tell whether the request ran. */
        FAILED_STATUS,
        /** The caller disconnected. */
        CANCELLED
    }
}
