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
 * Sums the demand over all entry VMs from the latest digest of each. Outdated and duplicate digests have no effect, and
 * the demand of a VM that has stopped sending digests expires. Thread safe: guarded by this.
 */
public final class DemandAggregator {

    private static final Duration DIGEST_VALIDITY = Duration.ofSeconds(5);

    private final MonotonicClock clock;
    /** Guarded by this. */
    private final Map<VmName, Received> latestDigests = new HashMap<>();

    /**
     * Creates an aggregator without demand.
     *
     * @param clock the monotonic clock
     */
    public DemandAggregator(MonotonicClock clock) {
        this.clock = clock;
    }

    private record Received(DemandDigest digest, Deadline expiresAt) {}

    /**
     * Registers this aggregator as the handler of the digests of other VMs.
     *
     * @param network dispatches the messages
     */
    public void register(VmNetwork network) {
        network.registerHandler(MessageKind.DEMAND, (sender, body) -> {
            try {
                accept(sender, DemandDigest.parseFrom(body));
            } catch (InvalidProtocolBufferException exception) {
                return CompletableFuture.failedFuture(exception);
            }
            return CompletableFuture.completedFuture(ByteString.EMPTY);
        });
    }

    /**
     * Stores a digest unless a later one of the same VM is known.
     *
     * @param sender the VM that measured the demand
     * @param digest the digest
     */
    synchronized void accept(VmName sender, DemandDigest digest) {
        Received latest = latestDigests.get(sender);
        if (latest == null || isNewer(digest, latest.digest())) {
            latestDigests.put(sender, new Received(digest, Deadline.after(clock.nanoTime(), DIGEST_VALIDITY)));
        }
    }

    private static boolean isNewer(DemandDigest digest, DemandDigest latest) {
        if (digest.getStartedMillis() != latest.getStartedMillis()) {
            return digest.getStartedMillis() > latest.getStartedMillis();
        }
        return digest.getSequence() > latest.getSequence();
    }

    /**
     * Sums the digests that have not expired.
     *
     * @return the demand over all entry VMs
     */
    public synchronized DemandRates current() {
        long nowNanos = clock.nanoTime();
        latestDigests.values().removeIf(received -> received.expiresAt().hasPassed(nowNanos));
        Map<String, DemandRates.Rate> models = new HashMap<>();
        Map<String, DemandRates.Rate> adapters = new HashMap<>();
        for (Received received : latestDigests.values()) {
            for (DemandLine line : received.digest().getLinesList()) {
                DemandRates.Rate rate = new DemandRates.Rate(line.getFast(), line.getSlow());
                (line.getAdapter() ? adapters : models).merge(line.getName(), rate, DemandRates.Rate::plus);
            }
        }
        return new DemandRates(models, adapters);
    }
}
