package org.borageproxy.placement;

import java.util.function.Supplier;

import org.borageproxy.engine.OrderClient;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.tree.Configuration;

/**
 * The collaborators of the placement owner. Immutable and thread safe.
 *
 * @param leases grants the placement duty
 * @param ledgerStore stores the intents of orders
 * @param orderClient sends orders and reads the states of engines
 * @param servers the backend servers
 * @param configuration returns the configuration in force
 * @param demand returns the demand over all entry VMs
 * @param settings the settings
 * @param clock the monotonic clock
 * @param events records the events
 */
public record PlacementDependencies(
        LeaseStore leases,
        LedgerStore ledgerStore,
        OrderClient orderClient,
        BackendServers servers,
        Supplier<Configuration> configuration,
        Supplier<DemandRates> demand,
        PlacementSettings settings,
        MonotonicClock clock,
        EventRecorder events) {}
