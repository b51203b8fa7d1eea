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
 * Measures the demand that arrives at this VM and sends it to the placement owner: all of it in each interval, and at
 * once when a model without demand is asked for. Thread safe: the averages are guarded by this, and nothing is sent
 * under the lock.
 */
public final class DemandReporter implements DemandMeter {

    /** This VM. */
    private final VmName self;
    /** Sends digests. */
    private final VmNetwork network;
    /** Knows the placement owner. */
    private final LeaseStore leases;
    /** Takes the digests if this VM is the owner. */
    private final DemandAggregator view;
    /** The clock. */
    private final MonotonicClock clock;
    /** When this process started, in milliseconds since 1970. */
    private final long startedMillis;
    /** The demand by base model; guarded by this. */
    private final Map<String, DecayedDemand> models = new HashMap<>();
    /** The demand by adapter; guarded by this. */
    private final Map<String, DecayedDemand> adapters = new HashMap<>();
    /** The number of the last digest; guarded by this. */
    private long sequence;

    /**
     * Creates a table without demand.
     *
     * @param self this VM
     * @param network sends digests
     * @param leases knows the placement owner
     * @param view takes the digests if this VM is the owner
     * @param clock the clock
     * @param startedMillis when this process started, in milliseconds since 1970
     */
    public DemandReporter(
            VmName self,
            VmNetwork network,
            LeaseStore leases,
            DemandAggregator view,
            MonotonicClock clock,
            long startedMillis) {
        this.self = self;
        this.network = network;
        this.leases = leases;
        this.view = view;
        this.clock = clock;
        this.startedMillis = startedMillis;
    }

    @Override
    public void recordArrival(String model, String adapter, long tokens) {
        boolean cold;
        synchronized (this) {
            long nowNanos = clock.nanoTime();
            cold = !models.containsKey(model) || !adapter.isEmpty() && !adapters.containsKey(adapter);
            models.put(model, rate(models, model, nowNanos).withArrival(tokens, nowNanos));
            if (!adapter.isEmpty()) {
                adapters.put(adapter, rate(adapters, adapter, nowNanos).withArrival(tokens, nowNanos));
            }
        }
        if (cold) {
            sendDigest();
        }
    }

    /**
     * Returns a demand.
     *
     * @param rates the demands by name
     * @param name the name
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return the demand, zero if there is none
     */
    private static DecayedDemand rate(Map<String, DecayedDemand> rates, String name, long nowNanos) {
        DecayedDemand known = rates.get(name);
        return known == null ? new DecayedDemand(0, 0, nowNanos) : known;
    }

    /** Sends all demand to the placement owner, if one is known. */
    public void sendDigest() {
        DemandDigest digest = digest();
        VmName owner = leases.lastKnownLease(Duty.PLACEMENT).map(Lease::holder).orElse(null);
        if (self.equals(owner)) {
            view.accept(self, digest);
        } else if (owner != null) {
            network.send(owner, MessageKind.DEMAND, digest.toByteString());
        }
    }

    /**
     * Builds the next digest and forgets negligible demand.
     *
     * @return the digest
     */
    private synchronized DemandDigest digest() {
        long nowNanos = clock.nanoTime();
        models.replaceAll((name, rate) -> rate.decayedTo(nowNanos));
        adapters.replaceAll((name, rate) -> rate.decayedTo(nowNanos));
        models.values().removeIf(DecayedDemand::isNegligible);
        adapters.values().removeIf(DecayedDemand::isNegligible);
        sequence++;
        DemandDigest.Builder digest =
                DemandDigest.newBuilder().setStartedMillis(startedMillis).setSequence(sequence);
        models.forEach((name, rate) -> digest.addLines(line(name, false, rate)));
        adapters.forEach((name, rate) -> digest.addLines(line(name, true, rate)));
        return digest.build();
    }

    /**
     * Encodes a demand.
     *
     * @param name the model's or adapter's name
     * @param adapter whether it is an adapter
     * @param rate the demand
     * @return the line
     */
    private static DemandLine line(String name, boolean adapter, DecayedDemand rate) {
        return DemandLine.newBuilder()
                .setName(name)
                .setAdapter(adapter)
                .setFast(rate.fast())
                .setSlow(rate.slow())
                .build();
    }
}
