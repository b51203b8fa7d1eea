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
 * @param slots asks the coordinator for places at model engines
 * @param connections the connections to them
 * @param rates this entry's parts of the rates
 * @param budgets returns the retry budget of a service
 * @param suspects the requests that ended backend servers
 * @param metrics counts outcomes and times
 */
public record ForwardParts(
        EventLoop eventLoop,
        MonotonicClock clock,
        CallerProtocol protocol,
        ServerPool pool,
        SlotClient slots,
        ServerConnections connections,
        RateShares rates,
        Function<String, RetryBudget> budgets,
        SuspectRequests suspects,
        ForwardMetrics metrics) {}
