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

/** Entries that share the rate of one workspace through a coordinator. The tests hold the clock. Not thread safe. */
final class RateFleet {

    static final long MILLI = 1_000_000L;
    private static final int ENTRIES = 9;
    private static final int NEVER = 0;

    private final PublishedWorkspace workspace;
    private final RateSplitter splitter;
    private final List<RateShares> entries = new ArrayList<>();
    private final Set<Integer> shortEntries = new HashSet<>();

    /**
     * Tokens that were spent.
     *
     * @param atNanos when
     * @param tokens how many
     */
    record Spending(long atNanos, long tokens) {}

    /**
     * Creates a fleet at time zero.
     *
     * @param rate the rate and the burst, in tokens per second and tokens
     */
    RateFleet(long rate) {
        workspace = workspace(rate);
        splitter = new RateSplitter(new RateSplitter.Limit(rate, rate), 0);
        for (int index = 0; index < ENTRIES; index++) {
            int entry = index;
            RateShares shares = new RateShares(0);
            shares.onShortage(() -> shortEntries.add(entry));
            entries.add(shares);
        }
    }

    static PublishedWorkspace workspace(long rate) {
        return new PublishedWorkspace("w", Set.of("k"), 0, rate, rate, 200);
    }

    int size() {
        return entries.size();
    }

    /** Lets the coordinator suppose that each entry holds an equal share, as at the begin of a term. */
    void supposeEqualShares() {
        for (int entry = 0; entry < ENTRIES; entry++) {
            splitter.assumeShare(name(entry), workspace.rate() / (double) ENTRIES, 0);
        }
    }

    private static VmName name(int entry) {
        return new VmName("e" + entry);
    }

    /** Asks for tokens and spends them if they are there. */
    boolean spend(int entry, int tokens, long nowNanos) {
        entries.get(entry).recordDemand(workspace, tokens, nowNanos);
        return entries.get(entry).spend(workspace, tokens, nowNanos).isEmpty();
    }

    void refund(int entry, int tokens, long nowNanos) {
        entries.get(entry).refund(workspace, tokens, nowNanos);
    }

    boolean mayAwaitGrant(int entry, int tokens, long nowNanos) {
        return entries.get(entry)
                .spend(workspace, tokens, nowNanos)
                .filter(RateShares.Shortage::isGrantable)
                .isPresent();
    }

    void awaitGrant(int entry, int tokens, long nowNanos, Runnable admitted) {
        RateShares held = entries.get(entry);
        held.awaitGrant(workspace, tokens, () -> {
            if (held.spend(workspace, tokens, nowNanos).isEmpty()) {
                admitted.run();
            }
        });
    }

    /** Tells whether a request began to wait since the entry's last report. */
    boolean isShort(int entry) {
        return shortEntries.contains(entry);
    }

    /** Reports to the coordinator and takes its answer. */
    void exchange(int entry, long nowNanos) {
        shortEntries.remove(entry);
        List<RateShare> given = new ArrayList<>();
        for (WorkspaceUsage usage : entries.get(entry).collectUsage(nowNanos)) {
            RateSplitter.Report report = new RateSplitter.Report(
                    usage.getDemand(), usage.getHeld(), usage.getSpent(), usage.getReturned(), usage.getNeedsList());
            RateSplitter.Allocation part = splitter.handleReport(name(entry), report, nowNanos);
            given.add(RateShare.newBuilder()
                    .setWorkspace(workspace.name())
                    .setRate(part.rate())
                    .setGranted(part.granted())
                    .build());
        }
        entries.get(entry).applyShares(Map.of(workspace.name(), workspace), given, nowNanos);
    }

    /**
     * Plays thirty seconds in which the workspace jumps to several times its rate while a third of the entries loses
     * the coordinator and comes back.
     *
     * @param random draws arrivals, tokens and refunds
     * @param oneRefundIn how many spendings there are for each that is given back; zero for no refunds
     * @return what was spent for good
     */
    List<Spending> playHotWorkspace(Random random, int oneRefundIn) {
        supposeEqualShares();
        List<Spending> spendings = new ArrayList<>();
        for (int step = 0; step < 3_000; step++) {
            long now = step * 10 * MILLI;
            boolean isHot = step > 800 && step < 1_900;
            for (int entry = 0; entry < ENTRIES; entry++) {
                boolean isCut = step > 1_200 && step < 1_700 && entry % 3 == 0;
                double arrivals = (isHot ? 7.5 : 1.0) * workspace.rate() / 1.8 / 2_400 / 100 / ENTRIES;
                if (random.nextDouble() < arrivals) {
                    int tokens = 400 + random.nextInt(4_000);
                    if (spend(entry, tokens, now)) {
                        if (oneRefundIn != NEVER && random.nextInt(oneRefundIn) == 0) {
                            refund(entry, tokens, now);
                        } else {
                            spendings.add(new Spending(now, tokens));
                        }
                    } else if (!isCut) {
                        awaitGrant(entry, tokens, now, () -> spendings.add(new Spending(now, tokens)));
                        exchange(entry, now);
                    }
                }
                if ((step + entry) % 12 == 0 && !isCut) {
                    exchange(entry, now);
                }
            }
        }
        return spendings;
    }

    /**
     * Returns the most that was spent within eight seconds.
     *
     * @param spendings the spendings in the order of their times
     * @return the tokens
     */
    static long mostInEightSeconds(List<Spending> spendings) {
        int first = 0;
        long sum = 0;
        long most = 0;
        for (Spending spending : spendings) {
            sum += spending.tokens();
            while (spending.atNanos() - spendings.get(first).atNanos() > 8_000 * MILLI) {
                sum -= spendings.get(first).tokens();
                first++;
            }
            most = Math.max(most, sum);
        }
        return most;
    }

    /** Returns the tokens that the users allow within eight seconds: rate and burst, a tenth more, and a constant. */
    long allowedInEightSeconds() {
        return (long) ((workspace.rate() * 8 + workspace.burst()) * 1.1) + 17_000;
    }
}
