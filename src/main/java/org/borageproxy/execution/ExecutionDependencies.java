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
 * The dependencies of request execution, shared by all requests of a VM. Immutable; its components are thread safe.
 *
 * @param vertx runs timers
 * @param clock the monotonic clock
 * @param configuration the source of the current configuration
 * @param servers the known backend servers
 * @param quota the token quotas of workspaces
 * @param queue the admission queue of backend servers
 * @param claims the claims of requests that must run at most once
 * @param crashes the registry of requests that may crash backend servers
 * @param events records events
 * @param table the requests of this VM in flight on each backend server
 * @param budget the retry budget
 * @param probe checks whether a backend server has stopped
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
