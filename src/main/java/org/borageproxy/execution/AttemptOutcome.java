package org.borageproxy.execution;

import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;

/** What one attempt to run a request on a backend server came to. Implementations are immutable. */
public sealed interface AttemptOutcome {

    /**
     * Returns what is known of the execution.
     *
     * @return the execution
     */
    Execution execution();

    /** The whole answer arrived and was checked. */
    enum Answered implements AttemptOutcome {
        /** The only value. */
        INSTANCE;

        @Override
        public Execution execution() {
            return Execution.ANSWERED;
        }
    }

    /**
     * No byte of the request reached a backend server, or the backend server said that it did not run it.
     *
     * @param code why
     * @param scope what the reason says about other attempts
     */
    record NotRun(ResultCode code, Scope scope) implements AttemptOutcome {

        @Override
        public Execution execution() {
            return Execution.NOT_RUN;
        }
    }

    /**
     * The request was sent and its whole answer did not arrive.
     *
     * @param code why
     * @param cause how the answer was lost
     */
    record MayHaveRun(ResultCode code, Cause cause) implements AttemptOutcome {

        @Override
        public Execution execution() {
            return Execution.MAY_HAVE_RUN;
        }
    }

    /** Whether another backend server may do better. */
    enum Scope {
        /** The reason belongs to one backend server. */
        SERVER,
        /** The reason belongs to the request, such as a withdrawn key; no attempt can succeed. */
        REQUEST
    }

    /** How an answer was lost. */
    enum Cause {
        /** The connection ended before the answer was whole. */
        CUT,
        /** The deadline passed. */
        TIMEOUT,
        /** The answer was malformed, out of order or of another request. */
        INVALID,
        /** The backend server answered with a failure that says nothing of the execution. */
        FAILED_STATUS,
        /** The caller went away. */
        CANCELLED
    }
}
