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
 * What a request has backend servers do, over all its attempts. At most one attempt is under way at a time.
 * Implementations are confined to the request's event loop.
 */
public interface BackendTask {

    /**
     * Returns what the next attempt needs of a replica.
     *
     * @param servers all backend servers
     * @param tried the backend servers that failed the request before, with their zones
     * @param exclusive whether the attempt must run alone
     * @return the query
     */
    ReplicaQuery query(List<BackendServer> servers, Map<BackendServerName, AvailabilityZone> tried, boolean exclusive);

    /**
     * Runs the request, or what is left of it, on a backend server.
     *
     * @param server the backend server
     * @param number the number of the attempt, from one
     * @param guard decides at the send whether the request may be sent
     * @return the outcome; never fails
     */
    Future<AttemptOutcome> attempt(BackendServer server, int number, SendGuard guard);

    /**
     * Ends the attempt under way, whose outcome arrives through its future.
     *
     * @param cause why
     */
    void cancel(AttemptOutcome.Cause cause);

    /**
     * Returns how much of the answer the caller has.
     *
     * @return the bytes sent
     */
    SentOutput sent();

    /**
     * Returns the tokens that all attempts have used, as far as known.
     *
     * @return the tokens
     */
    long usedTokens();

    /**
     * Returns the parts of the answer that the last attempt received, by which its time is divided to compare backend
     * servers.
     *
     * @return the number of parts, at least one
     */
    long receivedUnits();

    /**
     * Returns the answer in the form that is kept for resends.
     *
     * @param maximumBytes the largest answer that is kept
     * @return the answer, empty if it is larger
     */
    Optional<StoredResponse> storedResponse(int maximumBytes);

    /**
     * Returns the code for a request that no backend server can run.
     *
     * @param servers all backend servers
     * @return the code
     */
    ResultCode noReplicaCode(List<BackendServer> servers);
}
