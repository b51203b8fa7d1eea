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
 * What the callers' interface needs of the other parts of a VM. Immutable; its parts are safe for use by any thread.
 *
 * @param vertx runs the servers, clients and timers
 * @param clock the monotonic clock
 * @param configuration the configuration served now
 * @param servers the backend servers
 * @param quota the tokens of the workspaces
 * @param queue the queue before the backend servers
 * @param claims the claims of requests that run at most once
 * @param crashes the requests that end backend servers
 * @param demand counts arrivals
 * @param events the time line
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
