package org.borageproxy.execution;

import java.util.Optional;

import org.borageproxy.key.AuthenticationResult;
import org.borageproxy.time.Deadline;

/**
 * A parsed and authenticated request. Immutable and thread safe.
 *
 * @param identity the request's identity, unique in the fleet
 * @param caller the caller, empty on a route that needs no key
 * @param pool the model or plain service that it needs
 * @param tokens the largest number of tokens that it can spend
 * @param priority its priority
 * @param deadline when its answer must be complete
 * @param repeatable whether it may run more than once
 * @param claim the claim that it needs before its dispatch
 * @param fingerprint its identity over resends
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
     * Returns the workspace that pays.
     *
     * @return the workspace's name, empty on a route that needs no key
     */
    public String workspace() {
        return caller.map(AuthenticationResult.Accepted::workspace).orElse("");
    }
}
