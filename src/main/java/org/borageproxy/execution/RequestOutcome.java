package org.borageproxy.execution;

import java.util.Optional;

import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;
import org.borageproxy.time.Deadline;

/** The outcome of a request over all its attempts. Implementations are immutable. */
public sealed interface RequestOutcome {

    /** The task holds the whole response. */
    enum Answered implements RequestOutcome {
        /** The singleton instance. */
        INSTANCE
    }

    /**
     * The request was answered before, and its stored response is replayed.
     *
     * @param response the stored response
     */
    record Replayed(StoredResponse response) implements RequestOutcome {}

    /**
     * The request was refused or failed.
     *
     * @param code the reason
     * @param execution whether the request ran, over all attempts
     * @param retryAt when to retry, empty if a retry is of no use
     * @param truncated whether the caller has received a part of the response, whose stream must end with an error
     */
    record Failure(ResultCode code, Execution execution, Optional<Deadline> retryAt, boolean truncated)
            implements RequestOutcome {}
}
