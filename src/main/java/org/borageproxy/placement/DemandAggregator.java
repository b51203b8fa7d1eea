package org.borageproxy.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.PlacementProtocol.DemandDigest;
import org.borageproxy.wire.proto.PlacementProtocol.DemandLine;

/**
 * The demand over all entries, from the newest digest of each. A digest that is older than the known one of the same
 * VM, or that arrives twice, has no effect; a VM that sends none any more counts no more. Thread safe: guarded by this.
 */
public final class DemandAggregator {

    /** The time for which a digest counts. */
    private static final Duration KEPT = Duration.ofSeconds(5);

    /** The clock. */
    private final MonotonicClock clock;
    /** The newest digest of each VM; guarded by this. */
    private final Map<VmName, Received> digests = new HashMap<>();

    /**
     * Creates a view without demand.
     *
     * @param clock the clock
     */
    public DemandAggregator(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * A digest with the time for which it counts.
     *
     * @param digest the digest
     * @param countsBefore when it counts no more
     */
    private record Received(DemandDigest digest, Deadline countsBefore) {}

    /**
     * Registers this view for the digests of other VMs.
     *
     * @param network dispatches the messages
     */
    public void register(VmNetwork network) {
        network.handle(MessageKind.DEMAND, (sender, body) -> {
            try {
                accept(sender, DemandDigest.parseFrom(body));
            } catch (InvalidProtocolBufferException malformed) {
                return CompletableFuture.failedFuture(malformed);
            }
            return CompletableFuture.completedFuture(ByteString.EMPTY);
        });
    }

    /**
     * Takes a digest.
     *
     * @param sender the VM that measured it
     * @param digest the digest
     */
    synchronized void accept(VmName sender, DemandDigest digest) {
        Received known = digests.get(sender);
        if (known == null || isNewer(digest, known.digest())) {
            digests.put(sender, new Received(digest, Deadline.after(clock.nanoTime(), KEPT)));
        }
    }

    /**
     * Tells whether a digest is newer than another of the same VM.
     *
     * @param digest the digest
     * @param known the other digest
     * @return {@code true} if it is
     */
    private static boolean isNewer(DemandDigest digest, DemandDigest known) {
        if (digest.getStartedMillis() != known.getStartedMillis()) {
            return digest.getStartedMillis() > known.getStartedMillis();
        }
        return digest.getSequence() > known.getSequence();
    }

    /**
     * Returns the demand over all entries.
     *
     * @return the demand
     */
    public synchronized DemandRates current() {
        long nowNanos = clock.nanoTime();
        digests.values().removeIf(received -> received.countsBefore().hasPassed(nowNanos));
        Map<String, DemandRates.Rate> models = new HashMap<>();
        Map<String, DemandRates.Rate> adapters = new HashMap<>();
        for (Received received : digests.values()) {
            for (DemandLine line : received.digest().getLinesList()) {
                DemandRates.Rate rate = new DemandRates.Rate(line.getFast(), line.getSlow());
                (line.getAdapter() ? adapters : models).merge(line.getName(), rate, DemandRates.Rate::plus);
            }
        }
        return new DemandRates(models, adapters);
    }
}
