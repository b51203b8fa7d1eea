package org.borageproxy.forward;

import java.util.function.Function;

import io.netty.channel.EventLoop;
import org.borageproxy.execution.RetryBudget;
import org.borageproxy.quota.RateShares;
import org.borageproxy.time.MonotonicClock;

/**
 * What forwarding a request needs. Used by one event loop only.
 *
 * @param eventLoop the event loop of the requests
 * @param clock the clock
 * @param protocol names and formats
 * @param pool the backend servers
 * @param slotClient asks the coordinator for places at model engines
 * @param connections the connections to them
 * @param rateShares this entry's parts of the rates
 * @param retryBudgets returns the retry budget of a service
 * @param suspectRequests the requests that ended backend servers
 * @param metrics counts outcomes and times
 */
public record ForwardContext(
        EventLoop eventLoop,
        MonotonicClock clock,
        CallerProtocol protocol,
        ServerPool pool,
        SlotClient slotClient,
        ServerConnectionPool connections,
        RateShares rateShares,
        Function<String, RetryBudget> retryBudgets,
        SuspectRequests suspectRequests,
        ForwardMetrics metrics) {}
