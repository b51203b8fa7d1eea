package org.borageproxy.execution;

import java.util.Optional;

import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/** How a request ended. Implementations are immutable. */
public sealed interface RequestOutcome {

    /** The work holds the whole answer. */
    enum Answered implements RequestOutcome {
        /** The only value. */
        INSTANCE
    }

    /**
     * An earlier send of the request was answered.
     *
     * @param response the stored answer
     */
    record Replayed(StoredResponse response) implements RequestOutcome {}

    /**
     * The request was refused or failed.
     *
     * @param code why
     * @param execution what is known of the execution, over all attempts
     * @param retryAt when to come back, empty if coming back is of no use
     * @param truncated whether the caller has a part of the answer, which must end visibly cut
     */
    record Failure(ResultCode code, Execution execution, Optional<Deadline> retryAt, boolean truncated)
            implements RequestOutcome {}
}
