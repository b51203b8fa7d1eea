package org.borageproxy.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.http.HttpServerRequest;
import org.borageproxy.buffer.BufferOwner;
import org.borageproxy.buffer.RefusalCost;
import org.borageproxy.buffer.Reservation;
import org.borageproxy.drain.Regions;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.publication.EnginePool;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.PublishedRoute;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.time.Deadline;

/**
 * A completely read request of a caller that is to be forwarded. Immutable except for the state of the HTTP request;
 * confined to its event loop.
 *
 * @param request the HTTP request
 * @param metadata the metadata of the headers
 * @param body the body and the buffer memory of the request
 * @param route the route that the request matched
 * @param service the service that was drawn from the route
 * @param engines the engine pool of the service; empty for a plain service
 * @param identityPath the path of a request that a server of the service answers with its name; empty if none is known
 * @param workspace the workspace of the caller's API key; empty if no known key came with the request
 * @param suspects what may make a backend server crash that begins the request
 * @param arrivedAtNanos the time on the monotonic clock at the arrival, in nanoseconds
 * @param deadline the deadline of the caller or of the route, whichever is earlier
 */
record BufferedRequest(
        HttpServerRequest request,
        RequestMetadata metadata,
        RequestBody body,
        PublishedRoute route,
        String service,
        Optional<EnginePool> engines,
        Optional<String> identityPath,
        Optional<PublishedWorkspace> workspace,
        CrashSuspects suspects,
        long arrivedAtNanos,
        Deadline deadline) {

    /** Requests of priority zero rank one above this urgency. */
    private static final int OUTRANKED_URGENCY = 5;

    private static final int LOWEST_URGENCY = 9;

    /**
     * Returns the request in another service of its route, with the same body.
     *
     * @param otherService the service
     * @param publication the publication that has the service
     * @return the request
     */
    BufferedRequest inService(String otherService, Publication publication) {
        return new BufferedRequest(
                request,
                metadata,
                body,
                route,
                otherService,
                publication.enginePool(otherService),
                publication.identityPath(otherService),
                workspace,
                CrashSuspects.of(
                        suspects.request(),
                        otherService,
                        metadata.work().map(EngineWork::promptParts).orElse(List.of())),
                arrivedAtNanos,
                deadline);
    }

    /**
     * Returns the time after which an answer, or its first event, misses the route's objective.
     *
     * @return the deadline of the objective; that of the request if the route has no objective
     */
    Deadline objectiveDeadline() {
        Duration objective = route.latencyObjective();
        return objective.isZero()
                ? deadline
                : Deadline.after(arrivedAtNanos, objective).earlierOf(deadline);
    }

    /**
     * Returns whether an answer, or its first event, can be expected before a VM that stops closes its connections.
     *
     * @param answersEnd when the connections are closed
     * @param sentAtNanos when the request is sent, on the monotonic clock
     * @return {@code false} if the route's objective, counted from the sending, ends later, or the deadline if the
     *     route has no objective
     */
    boolean mayBeAnsweredBy(Deadline answersEnd, long sentAtNanos) {
        Duration objective = route.latencyObjective();
        Deadline expected = objective.isZero()
                ? deadline
                : Deadline.after(sentAtNanos, objective).earlierOf(deadline);
        return expected.compareTo(answersEnd) <= 0;
    }

    /**
     * Returns the inference work of a request for a service of model engines.
     *
     * @return empty for a plain service
     */
    Optional<EngineWork> inferenceWork() {
        return engines.isEmpty() ? Optional.empty() : metadata.work();
    }

    /**
     * Returns what the request requires of its server.
     *
     * @param excludedServers the servers that must not be selected
     * @param origin what began the stream that the request continues; empty for a request that any server can run
     * @return the requirement
     */
    ServerRequirement requirement(Set<BackendServerName> excludedServers, Optional<StreamOrigin> origin) {
        return new ServerRequirement(
                service, engines, metadata.work(), excludedServers, origin, 0.0, allowedRegions(), body.length());
    }

    /**
     * Returns the regions in which the request may run, by its route and its workspace.
     *
     * @return the names of the regions; empty for any
     */
    Set<String> allowedRegions() {
        return Regions.intersect(
                route.allowedRegions(),
                workspace.map(PublishedWorkspace::allowedRegions).orElse(Set.of()));
    }

    /**
     * Returns the cost of the request under the workspace's token rate.
     *
     * @return the number of tokens; zero for a plain service without a workspace
     */
    long rateTokens() {
        return metadata.work().map(work -> (long) work.totalTokens()).orElseGet(() -> workspace
                .map(PublishedWorkspace::defaultRequestTokens)
                .orElse(0L));
    }

    /**
     * Returns the rank of the request in queues. The priority of the workspace overrides that of the route.
     *
     * @return a rank from zero, the first, to nine, the last
     */
    int urgency() {
        return urgency(workspace, route);
    }

    private static int urgency(Optional<PublishedWorkspace> workspace, PublishedRoute route) {
        int priority = workspace
                .map(PublishedWorkspace::priority)
                .filter(rank -> rank >= 0)
                .orElse(route.priority());
        return Math.max(0, Math.min(LOWEST_URGENCY, OUTRANKED_URGENCY - 1 + priority));
    }

    /**
     * Returns for whom a request is buffered that was not read yet. A caller without API key is bounded by connection.
     *
     * @param request the HTTP request
     * @param metadata the metadata of the headers
     * @param workspace the workspace of the API key; empty if there is none
     * @param route the route; empty if none matches
     * @param deadline the deadline of the request
     * @return the owner
     */
    static BufferOwner ownerOf(
            HttpServerRequest request,
            RequestMetadata metadata,
            Optional<PublishedWorkspace> workspace,
            Optional<PublishedRoute> route,
            Deadline deadline) {
        int rank = route.map(each -> urgency(workspace, each)).orElse(LOWEST_URGENCY);
        return new BufferOwner(
                metadata.apiKey().orElseGet(() -> String.valueOf(request.remoteAddress())),
                workspace.map(PublishedWorkspace::name).orElse(""),
                "",
                new RefusalCost(rank, deadline));
    }

    /**
     * Returns the buffer memory of the request, which holds the bytes of its body.
     *
     * @return the reservation
     */
    Reservation reservation() {
        return body.reservation();
    }

    /**
     * Returns for whom the request is buffered.
     *
     * @return the owner, without a server
     */
    BufferOwner owner() {
        return reservation().owner();
    }
}
