package org.borageproxy.placement;

import java.util.HashMap;
import java.util.Map;

import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.PlacementProtocol.DemandDigest;
import org.borageproxy.wire.proto.PlacementProtocol.DemandLine;

/**
 * Measures the demand that arrives at this VM and sends it to the placement owner: periodically, and immediately when a
 * model or adapter without previous demand is requested. Thread safe: the averages are guarded by this, and messages
 * are sent outside the lock.
 */
public final class DemandReporter implements DemandMeter {

    private final VmName self;
    private final VmNetwork network;
    private final LeaseStore leases;
    /** Receives the digests directly if this VM is the placement owner. */
    private final DemandAggregator aggregator;

    private final MonotonicClock clock;
    private final long startedMillis;
    /** Guarded by this. */
    private final Map<String, DecayedDemand> demandByModel = new HashMap<>();
    /** Guarded by this. */
    private final Map<String, DecayedDemand> demandByAdapter = new HashMap<>();
    /** The sequence number of the last digest; guarded by this. */
    private long sequence;

    /**
     * Creates a reporter without demand.
     *
     * @param self the name of this VM
     * @param network sends the digests
     * @param leases provides the lease of the placement owner
     * @param aggregator receives the digests if this VM is the placement owner
     * @param clock the monotonic clock
     * @param startedMillis the start of this process in milliseconds since 1970; orders digests across restarts
     */
    public DemandReporter(
            VmName self,
            VmNetwork network,
            LeaseStore leases,
            DemandAggregator aggregator,
            MonotonicClock clock,
            long startedMillis) {
        this.self = self;
        this.network = network;
        this.leases = leases;
        this.aggregator = aggregator;
        this.clock = clock;
        this.startedMillis = startedMillis;
    }

    @Override
    public void recordArrival(String model, String adapter, long tokens) {
        boolean isNewDemand;
        synchronized (this) {
            long nowNanos = clock.nanoTime();
            isNewDemand =
                    !demandByModel.containsKey(model) || !adapter.isEmpty() && !demandByAdapter.containsKey(adapter);
            demandByModel.put(
                    model, currentDemand(demandByModel, model, nowNanos).withArrival(tokens, nowNanos));
            if (!adapter.isEmpty()) {
                demandByAdapter.put(
                        adapter,
                        currentDemand(demandByAdapter, adapter, nowNanos).withArrival(tokens, nowNanos));
            }
        }
        if (isNewDemand) {
            sendDigest();
        }
    }

    private static DecayedDemand currentDemand(Map<String, DecayedDemand> demandByName, String name, long nowNanos) {
        DecayedDemand current = demandByName.get(name);
        return current == null ? new DecayedDemand(0, 0, nowNanos) : current;
    }

    /** Sends the whole demand to the placement owner; does nothing if no owner is known. */
    public void sendDigest() {
        DemandDigest digest = nextDigest();
        VmName owner = leases.lastKnownLease(Duty.PLACEMENT).map(Lease::holder).orElse(null);
        if (self.equals(owner)) {
            aggregator.accept(self, digest);
        } else if (owner != null) {
            network.send(owner, MessageKind.DEMAND, digest.toByteString());
        }
    }

    private synchronized DemandDigest nextDigest() {
        long nowNanos = clock.nanoTime();
        demandByModel.replaceAll((name, demand) -> demand.decayedTo(nowNanos));
        demandByAdapter.replaceAll((name, demand) -> demand.decayedTo(nowNanos));
        demandByModel.values().removeIf(DecayedDemand::isNegligible);
        demandByAdapter.values().removeIf(DecayedDemand::isNegligible);
        sequence++;
        DemandDigest.Builder digest =
                DemandDigest.newBuilder().setStartedMillis(startedMillis).setSequence(sequence);
        demandByModel.forEach((name, demand) -> digest.addLines(encodeLine(name, false, demand)));
        demandByAdapter.forEach((name, demand) -> digest.addLines(encodeLine(name, true, demand)));
        return digest.build();
    }

    private static DemandLine encodeLine(String name, boolean adapter, DecayedDemand demand) {
        return DemandLine.newBuilder()
                .setName(name)
                .setAdapter(adapter)
                .setFast(demand.fast())
                .setSlow(demand.slow())
                .build();
    }
}
