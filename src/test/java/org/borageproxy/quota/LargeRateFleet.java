package org.borageproxy.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.RateShare;
import org.borageproxy.wire.proto.CoordinationProtocol.WorkspaceUsage;

/**
 * Entries that share the rate limit of one workspace through a coordinator, with reports at the intervals of
 * {@code CoordinationClient} that take time to travel. Each refusal is compared with a single token bucket that is
 * charged with the requests that the entries admitted. Not thread safe.
 */
final class LargeRateFleet {

    private static final long MILLI = 1_000_000L;
    private static final long REPORT_INTERVAL = 120 * MILLI;
    private static final long URGENT_REPORT_INTERVAL = 15 * MILLI;
    private static final long REPORT_TIMEOUT = 400 * MILLI;
    private static final long GRANT_WAIT =
            RateShares.GRANT_VALIDITY.plusMillis(50).toNanos();

    private final VirtualTime time;
    private final PublishedWorkspace workspace;
    private final long oneWayNanos;
    private RateSplitter splitter;
    private Deadline coordinatorReturnsAt;
    private final List<Entry> entries = new ArrayList<>();
    private final List<RateFleet.Spending> spendings = new ArrayList<>();
    private double bucket;
    private long bucketAtNanos;
    private int admitted;
    private int refused;
    private int refusedBesideUnspentTokens;

    private final class Entry {
        private final VmName name;
        private final RateShares shares;
        private boolean isInFlight;
        private boolean isUrgent;
        private long nextUrgentAt;
        private long round;

        private Entry(int number, int count) {
            name = new VmName("e" + number);
            shares = new RateShares(time.nowNanos(), new Random(number), () -> count);
            shares.onShortage(this::reportUrgently);
        }

        private void reportUrgently() {
            if (isInFlight) {
                isUrgent = true;
            } else if (time.nowNanos() >= nextUrgentAt) {
                report();
            } else if (!isUrgent) {
                isUrgent = true;
                schedule(nextUrgentAt - time.nowNanos());
            }
        }

        private void schedule(long delayNanos) {
            long scheduledRound = round;
            time.scheduleAfterNanos(delayNanos, () -> {
                if (scheduledRound == round && !isInFlight) {
                    report();
                }
            });
        }

        private void report() {
            round++;
            isUrgent = false;
            isInFlight = true;
            long sentAt = time.nowNanos();
            nextUrgentAt = sentAt + URGENT_REPORT_INTERVAL;
            List<WorkspaceUsage> usages = shares.collectUsage(sentAt);
            time.scheduleAfterNanos(oneWayNanos, () -> {
                List<RateShare> updates =
                        usages.stream().map(usage -> share(name, usage)).toList();
                if (updates.isEmpty()) {
                    splitter.recordNoUsage(name, time.nowNanos());
                }
                time.scheduleAfterNanos(oneWayNanos, () -> {
                    isInFlight = false;
                    shares.applyShares(Map.of(workspace.name(), workspace), updates, sentAt);
                    schedule(isUrgent ? URGENT_REPORT_INTERVAL : REPORT_INTERVAL);
                });
            });
        }
    }

    LargeRateFleet(VirtualTime time, int entryCount, PublishedWorkspace workspace, Duration oneWay) {
        this.time = time;
        this.oneWayNanos = oneWay.toNanos();
        this.coordinatorReturnsAt = new Deadline(time.nowNanos());
        this.workspace = workspace;
        bucketAtNanos = time.nowNanos();
        for (int number = 0; number < entryCount; number++) {
            Entry entry = new Entry(number, entryCount);
            entries.add(entry);
            time.scheduleAfterNanos(number * REPORT_INTERVAL / entryCount, entry::report);
        }
        splitter = newSplitter();
    }

    private RateShare share(VmName name, WorkspaceUsage usage) {
        RateSplitter.Report report = new RateSplitter.Report(
                usage.getDemand(), usage.getHeld(), usage.getSpent(), usage.getReturned(), usage.getNeedsList());
        RateSplitter.Allocation allocation = splitter.handleReport(name, report, time.nowNanos());
        return RateShare.newBuilder()
                .setWorkspace(usage.getName())
                .setRate(allocation.rate())
                .setGranted(allocation.granted())
                .build();
    }

    /** Lets a request arrive at an entry, as {@code RateAdmission} treats it. */
    void request(int number, long tokens) {
        Entry entry = entries.get(number);
        entry.shares.recordDemand(workspace, tokens, time.nowNanos());
        entry.shares
                .spend(workspace, tokens, time.nowNanos())
                .ifPresentOrElse(
                        shortage -> {
                            if (shortage.isGrantable()) {
                                await(entry, tokens);
                            } else {
                                refuse(entry, tokens);
                            }
                        },
                        () -> admit(tokens));
    }

    private void await(Entry entry, long tokens) {
        boolean[] isDecided = new boolean[1];
        Runnable decide = () -> {
            if (!isDecided[0]) {
                isDecided[0] = true;
                entry.shares
                        .spend(workspace, tokens, time.nowNanos())
                        .ifPresentOrElse(missing -> refuse(entry, tokens), () -> admit(tokens));
            }
        };
        entry.shares.awaitGrant(workspace, tokens, decide);
        time.scheduleAfterNanos(GRANT_WAIT, decide);
    }

    /** Replaces the coordinator by one that knows nothing but the entries; requests are answered after the outage. */
    void replaceCoordinator(Duration outage) {
        coordinatorReturnsAt = Deadline.after(time.nowNanos(), outage);
        time.scheduleAfterNanos(outage.toNanos(), () -> splitter = newSplitter());
    }

    private RateSplitter newSplitter() {
        RateSplitter created =
                new RateSplitter(new RateSplitter.Limit(workspace.rate(), workspace.burst()), time.nowNanos());
        entries.forEach(
                entry -> created.assumeShare(entry.name, workspace.rate() / (double) entries.size(), time.nowNanos()));
        return created;
    }

    private double bucketLevel() {
        double seconds = (time.nowNanos() - bucketAtNanos) / 1e9;
        bucketAtNanos = time.nowNanos();
        bucket = Math.min(workspace.burst(), bucket + seconds * workspace.rate());
        return bucket;
    }

    private void admit(long tokens) {
        bucket = bucketLevel() - tokens;
        admitted++;
        spendings.add(new RateFleet.Spending(time.nowNanos(), tokens));
    }

    private void refuse(Entry entry, long tokens) {
        entry.shares.recordRefusal(workspace, tokens, time.nowNanos());
        refused++;
        refusedBesideUnspentTokens += bucketLevel() >= tokens ? 1 : 0;
    }

    int admitted() {
        return admitted;
    }

    int refused() {
        return refused;
    }

    /** Returns the refusals at whose time a single bucket would have held the tokens. */
    int refusedBesideUnspentTokens() {
        return refusedBesideUnspentTokens;
    }

    long maxSpentInEightSeconds() {
        return RateFleet.maxSpentInEightSeconds(spendings);
    }

    long allowedInEightSeconds() {
        return (long) ((workspace.rate() * 8 + workspace.burst()) * 1.1) + 17_000;
    }
}
