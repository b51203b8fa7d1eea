package org.borageproxy.execution;

import java.util.Optional;

import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/** How a request ended. Implementations are immutable. */
public sealed interface Conclusion {

    /** The work holds the whole answer. */
    enum Answered implements Conclusion {
        /** The only value. */
        INSTANCE
    }

    /**
     * An earlier send of the request was answered.
     *
     * @param answer the stored answer
     */
    record Replayed(StoredAnswer answer) implements Conclusion {}

    /**
     * The request was refused or failed.
     *
     * @param code why
     * @param execution what is known of the execution, over all attempts
     * @param retryAt when to come back, empty if coming back is of no use
     * @param cut whether the caller has a part of the answer, which must end visibly cut
     */
    record Failure(ResultCode code, Execution execution, Optional<Deadline> retryAt, boolean cut)
            implements Conclusion {}
}
