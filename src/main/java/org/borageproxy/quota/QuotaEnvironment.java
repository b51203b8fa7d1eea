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
 * The services and settings of the VM that {@link FleetQuota} runs on. Immutable; as thread safe as its components.
 *
 * @param self this VM
 * @param session identifies this run of the process, unique over all runs of all VMs
 * @param peers returns the other VMs, any of which may become an owner
 * @param network sends and receives messages between VMs
 * @param leases the store of the shards' leases
 * @param configuration the configuration that this VM serves
 * @param clock the monotonic clock of this VM
 * @param timers runs short tasks with a delay; may be shared
 * @param events records changes of ownership
 * @param shardCount the number of shards, the same on every VM
 * @param mayOwnShards whether this VM acquires shards
 * @param settings the lifetimes and intervals, the same on every VM
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
