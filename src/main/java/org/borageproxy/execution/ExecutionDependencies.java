package org.borageproxy.execution;

import io.vertx.core.Vertx;
import org.borageproxy.admission.DispatchQueue;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.quota.TokenQuota;
import org.borageproxy.routing.ServerTable;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.tree.ConfigurationSource;

/**
 * What the execution of requests needs of its surroundings, shared by all requests of a VM. Immutable; its parts are
 * safe for use by any thread.
 *
 * @param vertx runs timers
 * @param clock the monotonic clock
 * @param configuration the configuration served now
 * @param servers the backend servers
 * @param quota the tokens of the workspaces
 * @param queue the queue before the backend servers
 * @param claims the claims of requests that run at most once
 * @param crashes the requests that end backend servers
 * @param events the time line
 * @param table what this VM has under way at each backend server
 * @param budget the retry budget
 * @param probe finds out whether a backend server is gone
 * @param settings the settings
 */
public record ExecutionDependencies(
        Vertx vertx,
        MonotonicClock clock,
        ConfigurationSource configuration,
        BackendServers servers,
        TokenQuota quota,
        DispatchQueue queue,
        ClaimStore claims,
        CrashRegistry crashes,
        EventRecorder events,
        ServerTable table,
        RetryBudget budget,
        CrashProbe probe,
        ExecutionSettings settings) {}
