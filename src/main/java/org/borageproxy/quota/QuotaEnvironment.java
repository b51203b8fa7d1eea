package org.borageproxy.quota;

import java.util.Collection;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import org.borageproxy.event.EventRecorder;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.tree.ConfigurationSource;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;

/**
 * What quotas need of the VM they run on. Immutable; as thread safe as its parts.
 *
 * @param self this VM
 * @param session names this run of the process, unique over all runs of all VMs
 * @param peers the other VMs, which may become owners
 * @param network messages between VMs
 * @param leases the leased duties
 * @param configuration the configuration that this VM serves
 * @param clock the clock
 * @param timers runs short tasks later; may be shared
 * @param events takes events
 * @param shardCount the number of shards, the same on every VM
 * @param mayOwnShards whether this VM may own shards
 * @param settings the times that govern credit, the same on every VM
 */
public record QuotaEnvironment(
        VmName self,
        String session,
        Supplier<? extends Collection<VmName>> peers,
        VmNetwork network,
        LeaseStore leases,
        ConfigurationSource configuration,
        MonotonicClock clock,
        ScheduledExecutorService timers,
        EventRecorder events,
        int shardCount,
        boolean mayOwnShards,
        QuotaSettings settings) {}
