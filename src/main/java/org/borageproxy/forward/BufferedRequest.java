package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.http.HttpServerRequest;
import org.borageproxy.execution.Fingerprint;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.publication.PublishedRoute;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.time.Deadline;

/**
 * A whole request of a caller that is to be forwarded. Immutable but for the request's own state; used by its event
 * loop only.
 *
 * @param request the request
 * @param metadata what its head says
 * @param body its body
 * @param route its route
 * @param service the service that the route chose
 * @param engines the engines of the service; empty for a plain service
 * @param workspace the workspace whose key came with it; empty on open routes
 * @param fingerprint identifies equal requests
 * @param arrivedAtNanos the reading of the clock at its arrival
 * @param deadline when its caller or its route gives up
 */
record BufferedRequest(
        HttpServerRequest request,
        RequestMetadata metadata,
        byte[] body,
        PublishedRoute route,
        String service,
        Optional<EnginePool> engines,
        Optional<PublishedWorkspace> workspace,
        Fingerprint fingerprint,
        long arrivedAtNanos,
        Deadline deadline) {

    private static final int OUTRANKING = 5;
    private static final int LOWEST_URGENCY = 9;

    /**
     * Returns when an answer, or its first event, is late.
     *
     * @return the deadline of the objective
     */
    Deadline objectiveDeadline() {
        Duration objective = route.latencyObjective();
        return objective.isZero()
                ? deadline
                : Deadline.after(arrivedAtNanos, objective).earlierOf(deadline);
    }

    /**
     * Returns the tokens by which the workspace's rate counts the request.
     *
     * @return the tokens
     */
    long rateTokens() {
        return metadata.work().map(work -> (long) work.totalTokens()).orElseGet(() -> workspace
                .map(PublishedWorkspace::defaultRequestTokens)
                .orElse(0L));
    }

    /**
     * Returns the rank of the request within a backend server.
     *
     * @return zero for the first, nine for the last
     */
    int urgency() {
        int priority = workspace
                .map(PublishedWorkspace::priority)
                .filter(rank -> rank >= 0)
                .orElse(route.priority());
        return Math.max(0, Math.min(LOWEST_URGENCY, OUTRANKING - 1 + priority));
    }
}
