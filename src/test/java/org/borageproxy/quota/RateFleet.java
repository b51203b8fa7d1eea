package org.borageproxy.quota;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.RateShare;
import org.borageproxy.wire.proto.CoordinationProtocol.WorkspaceUsage;

/**
 * Entries that share the rate limit of one workspace through a coordinator. The caller controls the time. Not thread
 * safe.
 */
final class RateFleet {

    static final long MILLI = 1_000_000L;
    private static final int ENTRIES = 9;
    private static final int NEVER = 0;

    private final PublishedWorkspace workspace;
    private final RateSplitter splitter;
    private final List<RateShares> entries = new ArrayList<>();
    private final Set<Integer> entriesWithShortage = new HashSet<>();

    /**
     * Tokens that were spent.
     *
     * @param atNanos when they were spent
     * @param tokens the number of tokens
     */
    record Spending(long atNanos, long tokens) {}

    /**
     * Creates entries and a coordinator at time zero.
     *
     * @param rate the rate in tokens per second, also used as the burst
     */
    RateFleet(long rate) {
        workspace = workspace(rate);
        splitter = new RateSplitter(new RateSplitter.Limit(rate, rate), 0);
        for (int index = 0; index < ENTRIES; index++) {
            int entry = index;
            RateShares shares = new RateShares(0, new Random(entry), () -> ENTRIES);
            shares.onShortage(() -> entriesWithShortage.add(entry));
            entries.add(shares);
        }
    }

    static PublishedWorkspace workspace(long rate) {
        return new PublishedWorkspace("w", Set.of("k"), 0, rate, rate, 200);
    }

    int size() {
        return entries.size();
    }

    /** Makes the coordinator assume that each entry holds an equal share, as at the start of a term. */
    void assumeEqualShares() {
        for (int entry = 0; entry < ENTRIES; entry++) {
            splitter.assumeShare(name(entry), workspace.rate() / (double) ENTRIES, 0);
        }
    }

    private static VmName name(int entry) {
        return new VmName("e" + entry);
    }

    /** Records the demand for tokens and spends them if they are available. */
    boolean spend(int entry, int tokens, long nowNanos) {
        entries.get(entry).recordDemand(workspace, tokens, nowNanos);
        return entries.get(entry).spend(workspace, tokens, nowNanos).isEmpty();
    }

    void refund(int entry, int tokens, long nowNanos) {
        entries.get(entry).refund(workspace, tokens, nowNanos);
    }

    /**
     * Returns whether the coordinator may grant tokens that could not be spent. Call only after {@link #spend} has
     * failed at the same time, since tokens that are available are spent here as well.
     */
    boolean mayAwaitGrant(int entry, int tokens, long nowNanos) {
        return entries.get(entry)
                .spend(workspace, tokens, nowNanos)
                .filter(RateShares.Shortage::isGrantable)
                .isPresent();
    }

    void awaitGrant(int entry, int tokens, long nowNanos, Runnable admitted) {
        RateShares shares = entries.get(entry);
        shares.awaitGrant(workspace, tokens, () -> {
            if (shares.spend(workspace, tokens, nowNanos).isEmpty()) {
                admitted.run();
            }
        });
    }

    /** Returns whether a request has begun to wait for a grant since the entry's last report. */
    boolean hasShortage(int entry) {
        return entriesWithShortage.contains(entry);
    }

    /** Sends an entry's report to the coordinator and applies its reply. */
    void report(int entry, long nowNanos) {
        entriesWithShortage.remove(entry);
        List<RateShare> updates = new ArrayList<>();
        for (WorkspaceUsage usage : entries.get(entry).collectUsage(nowNanos)) {
            RateSplitter.Report report = new RateSplitter.Report(
                    usage.getDemand(), usage.getHeld(), usage.getSpent(), usage.getReturned(), usage.getNeedsList());
            RateSplitter.Allocation allocation = splitter.handleReport(name(entry), report, nowNanos);
            updates.add(RateShare.newBuilder()
                    .setWorkspace(workspace.name())
                    .setRate(allocation.rate())
                    .setGranted(allocation.granted())
                    .build());
        }
        entries.get(entry).applyShares(Map.of(workspace.name(), workspace), updates, nowNanos);
    }

    /**
     * Simulates thirty seconds, during which the workspace's demand rises to several times its rate, and a third of the
     * entries loses the coordinator and reconnects.
     *
     * @param random draws arrivals, tokens and refunds
     * @param oneRefundIn one of this many requests admitted without waiting is refunded; zero for no refunds
     * @return the tokens spent and not refunded
     */
    List<Spending> simulateOverload(Random random, int oneRefundIn) {
        assumeEqualShares();
        List<Spending> spendings = new ArrayList<>();
        for (int step = 0; step < 3_000; step++) {
            long nowNanos = step * 10 * MILLI;
            boolean isOverloaded = step > 800 && step < 1_900;
            for (int entry = 0; entry < ENTRIES; entry++) {
                boolean isDisconnected = step > 1_200 && step < 1_700 && entry % 3 == 0;
                double arrivals = (isOverloaded ? 7.5 : 1.0) * workspace.rate() / 1.8 / 2_400 / 100 / ENTRIES;
                if (random.nextDouble() < arrivals) {
                    int tokens = 400 + random.nextInt(4_000);
                    if (spend(entry, tokens, nowNanos)) {
                        if (oneRefundIn != NEVER && random.nextInt(oneRefundIn) == 0) {
                            refund(entry, tokens, nowNanos);
                        } else {
                            spendings.add(new Spending(nowNanos, tokens));
                        }
                    } else if (!isDisconnected) {
                        awaitGrant(entry, tokens, nowNanos, () -> spendings.add(new Spending(nowNanos, tokens)));
                        report(entry, nowNanos);
                    }
                }
                if ((step + entry) % 12 == 0 && !isDisconnected) {
                    report(entry, nowNanos);
                }
            }
        }
        return spendings;
    }

    /**
     * Returns the maximum of the tokens spent in any period of eight seconds.
     *
     * @param spendings the spendings in the order of time
     * @return the tokens
     */
    static long maxSpentInEightSeconds(List<Spending> spendings) {
        int first = 0;
        long sum = 0;
        long maximum = 0;
        for (Spending spending : spendings) {
            sum += spending.tokens();
            while (spending.atNanos() - spendings.get(first).atNanos() > 8_000 * MILLI) {
                sum -= spendings.get(first).tokens();
                first++;
            }
            maximum = Math.max(maximum, sum);
        }
        return maximum;
    }

    /** Returns the tokens allowed in eight seconds: rate and burst, ten per cent more, and a constant. */
    long allowedInEightSeconds() {
        return (long) ((workspace.rate() * 8 + workspace.burst()) * 1.1) + 17_000;
    }
}
