package org.borageproxy.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.borageproxy.lease.Duty;
import org.borageproxy.lease.Lease;
import org.borageproxy.lease.LeaseStore;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.PlacementProtocol.DemandDigest;
import org.borageproxy.wire.proto.PlacementProtocol.DemandLine;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the demand that the placement owner derives from the digests of the VMs. */
class DemandAggregatorTest {

    private static final VmName SELF = new VmName("vm-1");

    private long nowNanos;
    private final DemandAggregator aggregator = new DemandAggregator(() -> nowNanos);
    private final DemandReporter reporter =
            new DemandReporter(SELF, null, new SelfOwner(), aggregator, () -> nowNanos, 1);

    @Test
    void firstRequestOfModelAndAdapterIsCountedImmediately() {
        reporter.recordArrival("llama", "quilt", 100);
        assertTrue(aggregator.current().ofModel("llama").fast() > 0);
        assertTrue(aggregator.current().ofAdapter("quilt").fast() > 0);
    }

    @Test
    void fastRateFollowsTenfoldJumpWithinTenSeconds() {
        recordPerSecond(60, 100);
        double before = aggregator.current().ofModel("llama").fast();
        recordPerSecond(10, 1_000);
        double after = aggregator.current().ofModel("llama").fast();
        assertTrue(after > 8 * before, before + " to " + after);
    }

    @Test
    void duplicateAndStaleDigestsAreIgnoredAndSilentVmsExpire() {
        VmName other = new VmName("vm-2");
        aggregator.accept(other, digest(2, 7.0));
        aggregator.accept(other, digest(2, 9.0));
        aggregator.accept(other, digest(1, 11.0));
        assertEquals(7.0, aggregator.current().ofModel("llama").fast());
        nowNanos += Duration.ofSeconds(6).toNanos();
        assertEquals(0.0, aggregator.current().ofModel("llama").fast());
    }

    private void recordPerSecond(int seconds, long tokens) {
        for (int second = 0; second < seconds; second++) {
            reporter.recordArrival("llama", "", tokens);
            nowNanos += Duration.ofSeconds(1).toNanos();
            reporter.sendDigest();
        }
    }

    private static DemandDigest digest(long sequence, double fast) {
        DemandLine line = DemandLine.newBuilder().setName("llama").setFast(fast).build();
        return DemandDigest.newBuilder().setSequence(sequence).addLines(line).build();
    }

    /** This VM always holds the placement duty. */
    private static final class SelfOwner implements LeaseStore {

        @Override
        public CompletionStage<Optional<Lease>> acquire(Duty duty) {
            return CompletableFuture.completedFuture(lastKnownLease(duty));
        }

        @Override
        public CompletionStage<Void> release(Lease lease) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public Optional<Lease> lastKnownLease(Duty duty) {
            return Optional.of(new Lease(duty, SELF, 1, new Deadline(Long.MAX_VALUE)));
        }
    }
}
