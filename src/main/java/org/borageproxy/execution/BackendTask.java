package org.borageproxy.execution;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vertx.core.Future;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.result.ResultCode;
import org.borageproxy.routing.ReplicaQuery;
import org.borageproxy.vm.AvailabilityZone;

/**
 * The backend part of a request, over all its attempts. At most one attempt runs at a time. Implementations are
 * confined to the request's event loop.
 */
public interface BackendTask {

    /**
     * Returns the replica requirements of the next attempt.
     *
     * @param servers all backend servers
     * @param tried the backend servers on which earlier attempts failed, with their zones
     * @param exclusive whether the attempt must be the only request on its server
     * @return the query
     */
    ReplicaQuery query(List<BackendServer> servers, Map<BackendServerName, AvailabilityZone> tried, boolean exclusive);

    /**
     * Runs the request, or the rest of it after an earlier attempt, on a backend server.
     *
     * @param server the backend server
     * @param number the number of the attempt, starting at 1
     * @param guard checked immediately before the request is sent
     * @return the outcome; never fails
     */
    Future<AttemptOutcome> attempt(BackendServer server, int number, SendGuard guard);

    /**
     * Cancels the running attempt, if any. Its outcome is delivered through its future.
     *
     * @param cause the reason for the cancellation
     */
    void cancel(AttemptOutcome.Cause cause);

    /**
     * Returns how much of the response the caller has received.
     *
     * @return the state of the delivery
     */
    SentOutput sent();

    /**
     * Returns the number of tokens used by all attempts, as far as known. The prompt tokens of a model count for each
     * attempt; the cost of a plain service counts once.
     *
     * @return the number of tokens
     */
    long usedTokens();

    /**
     * Returns the number of units that the last attempt received: tokens of a model, or one for a plain service. The
     * latency per unit makes backend servers comparable.
     *
     * @return the number of units, at least 1
     */
    long receivedUnits();

    /**
     * Encodes the response for replay to callers that resend the request.
     *
     * @param maximumBytes the maximum size of a stored body, in bytes
     * @return the response, empty if there is none or it is larger
     */
    Optional<StoredResponse> storedResponse(int maximumBytes);

    /**
     * Returns the code reported when no backend server can run the request.
     *
     * @param servers all backend servers
     * @return the code
     */
    ResultCode noReplicaCode(List<BackendServer> servers);
}
