package org.borageproxy.placement;

import java.util.function.Supplier;

import org.borageproxy.engine.OrderClient;
import org.borageproxy.event.EventRecorder;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.membership.BackendServers;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.tree.Configuration;

/**
 * What the placement owner works with. Immutable and thread safe.
 *
 * @param leases gives the placement duty
 * @param ledgerStore keeps the intents
 * @param orderClient gives orders and reads states
 * @param servers the backend servers
 * @param configuration returns the configuration served now
 * @param demand returns the demand over all entries
 * @param settings the settings
 * @param clock the clock
 * @param events takes the events
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
