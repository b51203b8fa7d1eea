package org.borageproxy.entry;

import java.util.function.Supplier;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import org.borageproxy.admission.DispatchQueue;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.execution.ClaimStore;
import org.borageproxy.execution.CrashRegistry;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.placement.DemandMeter;
import org.borageproxy.quota.TokenQuota;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.tree.ConfigurationSource;

/**
 * The dependencies of the server for callers on other parts of the VM. Immutable; its components are thread safe.
 *
 * @param vertx runs the servers, clients and timers
 * @param clock the monotonic clock
 * @param configuration the source of the current configuration
 * @param servers the known backend servers
 * @param quota the token quotas of workspaces
 * @param queue the admission queue of backend servers
 * @param claims the claims of requests that must run at most once
 * @param crashes the registry of requests that may crash backend servers
 * @param demand counts the demand for models
 * @param events records events
 * @param meters the metrics
 * @param metricsText renders the metrics for {@code GET /metrics}
 */
public record EntryDependencies(
        Vertx vertx,
        MonotonicClock clock,
        ConfigurationSource configuration,
        BackendServers servers,
        TokenQuota quota,
        DispatchQueue queue,
        ClaimStore claims,
        CrashRegistry crashes,
        DemandMeter demand,
        EventRecorder events,
        MeterRegistry meters,
        Supplier<String> metricsText) {}
