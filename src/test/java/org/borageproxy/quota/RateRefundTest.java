package org.borageproxy.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.RateShare;
import org.borageproxy.wire.proto.CoordinationProtocol.WorkspaceUsage;

import static org.junit.jupiter.api.Assertions.assertTrue;

class RateRefundTest {

    private static final long MILLI = 1_000_000L;
    private static final long RATE = 8_000;
    private static final PublishedWorkspace WORKSPACE = new PublishedWorkspace("w", Set.of("k"), 0, RATE, RATE, 200);

    /**
     * Load pattern: one workspace jumps to several times its rate while a third of the entries loses the coordinator
     * and comes back. Over any eight seconds the fleet spends at most rate, burst and the stated overage.
     */
    @Property(tries = 60)
    void spendingStaysWithinLargeRatesThroughRefunds(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int size) {
        Random random = new Random(seed);
        long rate = RATE * size;
        PublishedWorkspace workspace = new PublishedWorkspace("w", Set.of("k"), 0, rate, rate, 200);
        int entries = 9;
        RateSplitter splitter = new RateSplitter(new RateSplitter.Limit(rate, rate), 0);
        List<RateShares> shares = new ArrayList<>();
        for (int index = 0; index < entries; index++) {
            shares.add(new RateShares(0));
            splitter.suppose(new VmName("e" + index), rate / (double) entries, 0);
        }
        List<long[]> spendings = new ArrayList<>();
        for (int step = 0; step < 3_000; step++) {
            long now = step * 10 * MILLI;
            boolean isHot = step > 800 && step < 1_900;
            boolean isCut = step > 1_200 && step < 1_700;
            for (int index = 0; index < entries; index++) {
                double arrivals = (isHot ? 7.5 : 1.0) * rate / 1.8 / 2_400 / 100 / entries;
                if (random.nextDouble() < arrivals) {
                    int tokens = 400 + random.nextInt(4_000);
                    shares.get(index).asked(workspace, tokens, now);
                    if (shares.get(index).spend(workspace, tokens, now).isEmpty()) {
                        if (random.nextInt(5) == 0) {
                            shares.get(index).refund(workspace, tokens, now);
                        } else {
                            spendings.add(new long[] {now, tokens});
                        }
                    } else if (!(isCut && index % 3 == 0)) {
                        RateShares held = shares.get(index);
                        held.awaitGrant(workspace, tokens, () -> {
                            if (held.spend(workspace, tokens, now).isEmpty()) {
                                spendings.add(new long[] {now, tokens});
                            }
                        });
                        exchange(splitter, shares.get(index), "e" + index, now, workspace);
                    }
                }
                boolean isReporting = (step + index) % 12 == 0 && !(isCut && index % 3 == 0);
                if (isReporting) {
                    exchange(splitter, shares.get(index), "e" + index, now, workspace);
                }
            }
        }
        assertWithin(spendings, (long) ((rate * 8 + rate) * 1.1) + 17_000);
    }

    private static void exchange(
            RateSplitter splitter, RateShares held, String name, long now, PublishedWorkspace workspace) {
        for (WorkspaceUsage usage : held.takeUsage(now)) {
            RateSplitter.Report report = new RateSplitter.Report(
                    usage.getDemand(), usage.getHeld(), usage.getSpent(), usage.getReturned(), usage.getNeedsList());
            RateSplitter.Part part = splitter.report(new VmName(name), report, now);
            RateShare share = RateShare.newBuilder()
                    .setWorkspace("w")
                    .setRate(part.rate())
                    .setGranted(part.granted())
                    .build();
            held.renew(Map.of("w", workspace), List.of(share), now);
        }
    }

    private static void assertWithin(List<long[]> spendings, long bound) {
        int first = 0;
        long sum = 0;
        for (long[] spending : spendings) {
            sum += spending[1];
            while (spending[0] - spendings.get(first)[0] > 8_000 * MILLI) {
                sum -= spendings.get(first)[1];
                first++;
            }
            assertTrue(sum <= bound, "spent " + sum + " of " + bound + " at " + spending[0] / MILLI + " ms");
        }
    }
}
