package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.netty.channel.EventLoop;
import org.borageproxy.buffer.BufferAccount;
import org.borageproxy.execution.RetryBudget;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.quota.RateShares;
import org.borageproxy.time.MonotonicClock;

/**
 * Collaborators that the forwarding of requests shares. Confined to one event loop.
 *
 * @param eventLoop the event loop of the requests
 * @param clock the clock
 * @param protocol the header protocol of callers and backend servers
 * @param pool the backend servers
 * @param slotClient requests slots at model engines from the coordinator
 * @param streamOrigins finds what began the streams that callers resume
 * @param connections the connections to the backend servers
 * @param rateShares this entry's shares of the workspace rates
 * @param retryBudgets returns the retry budget of a service
 * @param suspectRequests the requests that are suspected of crashing backend servers
 * @param buffers the account of buffered bytes
 * @param metrics records outcomes and latencies
 */
public record ForwardContext(
        EventLoop eventLoop,
        MonotonicClock clock,
        CallerProtocol protocol,
        ServerPool pool,
        SlotClient slotClient,
        StreamOriginClient streamOrigins,
        ServerConnectionPool connections,
        RateShares rateShares,
        Function<String, RetryBudget> retryBudgets,
        SuspectRequests suspectRequests,
        BufferAccount buffers,
        ForwardMetrics metrics) {

    /**
     * Returns the times until which backend servers want no requests.
     *
     * @return the refusals of the ways on which the connections lead
     */
    ServerRefusals refusals() {
        return connections.links().refusals();
    }

    /**
     * Returns the servers that a request must not be sent to now, apart from those that it has tried.
     *
     * @param allowedRegions the regions in which the request may run; empty for any
     * @return the servers that refuse this VM and those in other regions, in a new set
     */
    Set<BackendServerName> unusable(Set<String> allowedRegions) {
        Set<BackendServerName> unusable = refusals().refusing();
        if (!allowedRegions.isEmpty()) {
            unusable.addAll(pool.availability().outside(allowedRegions));
        }
        return unusable;
    }

    /**
     * Returns the time until the first server takes a request again, if all that could run it refuse now.
     *
     * @param requirement what the request requires
     * @return empty if a server may take the request now, or none could run it
     */
    Optional<Duration> acceptedAfter(ServerRequirement requirement) {
        return refusals()
                .acceptedAt(pool.capable(requirement))
                .map(time -> Duration.ofNanos(time.remainingNanos(clock.nanoTime())));
    }
}
