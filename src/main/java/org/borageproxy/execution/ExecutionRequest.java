package org.borageproxy.execution;

import java.util.Optional;

import org.borageproxy.key.AuthenticationResult;
import org.borageproxy.time.Deadline;

/**
 * A parsed and authenticated request. Immutable and thread safe.
 *
 * @param identity the request ID, unique across all VMs
 * @param caller the caller, empty on a route that requires no key
 * @param pool the name of the model or plain service
 * @param tokens the maximum number of tokens charged for one attempt
 * @param priority the priority
 * @param deadline when the response must be complete
 * @param repeatable whether the request may run more than once
 * @param claim the claim required before dispatch
 * @param fingerprint identifies equal requests across resends
 */
public record ExecutionRequest(
        String identity,
        Optional<AuthenticationResult.Accepted> caller,
        String pool,
        long tokens,
        int priority,
        Deadline deadline,
        boolean repeatable,
        Optional<ClaimRequest> claim,
        Fingerprint fingerprint) {

    /**
     * Returns the workspace that is charged.
     *
     * @return the name of the workspace, empty on a route that requires no key
     */
    public String workspace() {
        return caller.map(AuthenticationResult.Accepted::workspace).orElse("");
    }
}
