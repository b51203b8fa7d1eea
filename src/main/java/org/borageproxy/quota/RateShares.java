package org.borageproxy.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.time.Deadline;
import org.borageproxy.wire.proto.CoordinationProtocol.RateShare;
import org.borageproxy.wire.proto.CoordinationProtocol.WorkspaceUsage;

/**
 * An entry's parts of the workspaces' rates. While the coordinator answers, only tokens that it granted are spent, and
 * each report returns those that were not. While it does not answer, the entry spends its share of the rate; a share
 * that is not renewed lapses, so that an entry that lost the coordinator spends nothing that another entry may have
 * been given. Not thread safe; used by the event loop of the requests.
 */
public final class RateShares {

    /** How long a share holds without renewal; the coordinator keeps it back for longer. */
    public static final Duration SHARE_VALIDITY = Duration.ofSeconds(10);
    /** How long after its last answered report an entry relies on grants; two reports and a half. */
    public static final Duration GRANT_VALIDITY = Duration.ofMillis(300);
    /** How long a workspace whose need was not met counts as exhausted. */
    private static final Duration EXHAUSTION = Duration.ofMillis(150);
    /** The shortest time after which callers come back for tokens. */
    private static final Duration LEAST_RETURN = Duration.ofMillis(300);
    /** The longest time that others who come back are allowed for; demand stays the same for some seconds. */
    private static final Duration LATEST_RETURN = Duration.ofSeconds(5);
    /** The part of a rate that an entry may spend before its first share. */
    private static final double FIRST_SHARE = 1.0 / 16;
    /** Seconds of its share that an entry saves while the coordinator does not answer. */
    private static final double SAVED_SECONDS = 0.4;
    /** Seconds of its share that such an entry spends in advance, so that large requests are admitted too. */
    private static final double OWED_SECONDS = 1;
    /** The weight of the newest second in the measured demand. */
    private static final double NEWEST = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Share> shares = new HashMap<>();
    private Runnable shortage = () -> {};
    private Deadline grantLapsesAt;

    /**
     * Begins without a coordinator.
     *
     * @param nowNanos the reading of the clock
     */
    public RateShares(long nowNanos) {
        grantLapsesAt = new Deadline(nowNanos);
    }

    private static final class Share {
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        private double rate;
        private double level;
        private long granted;
        private long accruedAtNanos;
        private Deadline lapsesAt;
        private Deadline grantLapsesAt;
        private Deadline exhaustedUntil;
        private Deadline promisedUntil;
        private long asked;
        private long spent;
        private long spentInReport;
        private long neededInReport;
        private double demand;
        private long reportedAtNanos;

        private void accrue(long nowNanos) {
            long fromNanos = Math.max(accruedAtNanos, grantLapsesAt.atNanos());
            accruedAtNanos = nowNanos;
            if (!isAlone(nowNanos)) {
                return;
            }
            granted = 0;
            if (lapsesAt.hasPassed(nowNanos)) {
                rate = 0;
                level = Math.min(level, 0);
            }
            double seconds = Math.max(0, nowNanos - fromNanos) / NANOS_PER_SECOND;
            level = Math.min(level + rate * seconds, rate * SAVED_SECONDS);
        }

        // Requests that were refused before are expected to come back first.
        private Duration timeUntil(long tokens, PublishedWorkspace workspace, long nowNanos) {
            double seconds = (tokens - Math.min(0, level)) / Math.max(1.0, workspace.rate());
            long ownNanos = (long) (Math.min(SHARE_VALIDITY.toSeconds(), seconds) * NANOS_PER_SECOND);
            long promisedNanos = Math.max(0, promisedUntil.remainingNanos(nowNanos));
            return Duration.ofNanos(Math.max(LEAST_RETURN.toNanos(), promisedNanos + ownNanos));
        }

        private boolean isAlone(long nowNanos) {
            return grantLapsesAt.hasPassed(nowNanos);
        }

        private boolean spend(long tokens, long nowNanos) {
            accrue(nowNanos);
            if (granted >= tokens) {
                granted -= tokens;
                return true;
            }
            if (isAlone(nowNanos) && rate > 0 && level + rate * OWED_SECONDS >= tokens) {
                level -= tokens;
                spent += tokens;
                return true;
            }
            return false;
        }
    }

    private static final class Waiting {
        private final long tokens;
        private final Runnable decided;
        private boolean isReported;

        private Waiting(long tokens, Runnable decided) {
            this.tokens = tokens;
            this.decided = decided;
        }
    }

    /**
     * Sets what tells the coordinator of a shortage.
     *
     * @param report reports soon
     */
    public void onShortage(Runnable report) {
        shortage = report;
    }

    /**
     * Why tokens were not spent.
     *
     * @param retryAfter the time after which they may be there
     * @param isGrantable whether the coordinator may grant them within milliseconds
     */
    public record Shortage(Duration retryAfter, boolean isGrantable) {}

    /**
     * Spends tokens of a workspace.
     *
     * @param workspace the workspace
     * @param tokens the tokens
     * @param nowNanos the reading of the clock
     * @return empty if they were spent
     */
    public Optional<Shortage> spend(PublishedWorkspace workspace, long tokens, long nowNanos) {
        if (!workspace.isLimited()) {
            return Optional.empty();
        }
        Share share = share(workspace, nowNanos);
        if (share.spend(tokens, nowNanos)) {
            return Optional.empty();
        }
        boolean isGrantable = !share.isAlone(nowNanos) && share.exhaustedUntil.hasPassed(nowNanos);
        return Optional.of(new Shortage(share.timeUntil(tokens, workspace, nowNanos), isGrantable));
    }

    /**
     * Asks the coordinator for tokens that could not be spent. Requests are granted tokens in the order in which they
     * asked.
     *
     * @param workspace the workspace
     * @param tokens the tokens of one request
     * @param decided called once when the coordinator granted the tokens or could not, to spend again; never called if
     *     the coordinator does not answer
     */
    public void awaitGrant(PublishedWorkspace workspace, long tokens, Runnable decided) {
        Share share = shares.get(workspace.name());
        if (share != null) {
            share.waiting.add(new Waiting(tokens, decided));
            shortage.run();
        }
    }

    /**
     * Notes that a request was refused its tokens and may come back for them, so that the next one is told a later
     * time.
     *
     * @param workspace the workspace
     * @param tokens the tokens of the request
     * @param nowNanos the reading of the clock
     */
    public void recordRefusal(PublishedWorkspace workspace, long tokens, long nowNanos) {
        Share share = share(workspace, nowNanos);
        Duration time = Duration.ofNanos((long) (tokens / Math.max(1.0, share.rate) * NANOS_PER_SECOND));
        Deadline free = new Deadline(Math.max(nowNanos, share.promisedUntil.atNanos()));
        share.promisedUntil = Deadline.after(free.atNanos(), time).earlierOf(Deadline.after(nowNanos, LATEST_RETURN));
    }

    /**
     * Counts what a workspace asks for.
     *
     * @param workspace the workspace
     * @param tokens the tokens of a request
     * @param nowNanos the reading of the clock
     */
    public void recordDemand(PublishedWorkspace workspace, long tokens, long nowNanos) {
        if (workspace.isLimited()) {
            share(workspace, nowNanos).asked += tokens;
        }
    }

    /**
     * Describes a workspace's part for logs.
     *
     * @param workspace the workspace
     * @return the limit and what is held of it
     */
    public String describe(PublishedWorkspace workspace) {
        Share share = shares.get(workspace.name());
        return share == null
                ? "none"
                : String.format(
                        Locale.ROOT,
                        "limit:%d/%d,share:%.0f,level:%.0f,granted:%d,demand:%.0f",
                        workspace.rate(),
                        workspace.burst(),
                        share.rate,
                        share.level,
                        share.granted,
                        share.demand);
    }

    /**
     * Gives back tokens of a request that did not run.
     *
     * @param workspace the workspace
     * @param tokens the tokens
     * @param nowNanos the reading of the clock
     */
    public void refund(PublishedWorkspace workspace, long tokens, long nowNanos) {
        Share share = shares.get(workspace.name());
        if (!workspace.isLimited() || share == null) {
            return;
        }
        share.accrue(nowNanos);
        if (share.isAlone(nowNanos)) {
            share.level += tokens;
            share.spent -= tokens;
        } else {
            share.granted += tokens;
        }
    }

    private Share share(PublishedWorkspace workspace, long nowNanos) {
        return shares.computeIfAbsent(workspace.name(), name -> {
            Share share = new Share();
            share.rate = workspace.rate() * FIRST_SHARE;
            share.level = workspace.burst() * FIRST_SHARE;
            share.accruedAtNanos = nowNanos;
            share.lapsesAt = Deadline.after(nowNanos, SHARE_VALIDITY);
            share.grantLapsesAt = grantLapsesAt;
            share.exhaustedUntil = new Deadline(nowNanos);
            share.promisedUntil = new Deadline(nowNanos);
            share.reportedAtNanos = nowNanos;
            return share;
        });
    }

    /**
     * Takes the shares that the coordinator gives, and decides about the requests that waited for them.
     *
     * @param workspaces the limited workspaces by name
     * @param given the shares
     * @param askedAtNanos when the coordinator was asked
     */
    public void applyShares(Map<String, PublishedWorkspace> workspaces, List<RateShare> given, long askedAtNanos) {
        grantLapsesAt = Deadline.after(askedAtNanos, GRANT_VALIDITY);
        List<Runnable> decided = new ArrayList<>();
        for (RateShare renewal : given) {
            PublishedWorkspace workspace = workspaces.get(renewal.getWorkspace());
            if (workspace != null) {
                Share share = share(workspace, askedAtNanos);
                share.accrue(Math.max(askedAtNanos, share.accruedAtNanos));
                share.rate = renewal.getRate();
                share.level = Math.min(share.level, share.rate * SAVED_SECONDS);
                share.granted += renewal.getGranted();
                if (renewal.getGranted() < share.neededInReport) {
                    share.exhaustedUntil = Deadline.after(askedAtNanos, EXHAUSTION);
                }
                share.spent -= share.spentInReport;
                share.spentInReport = 0;
                share.lapsesAt = Deadline.after(askedAtNanos, SHARE_VALIDITY);
                share.grantLapsesAt = grantLapsesAt;
                while (!share.waiting.isEmpty() && share.waiting.peek().isReported) {
                    decided.add(share.waiting.remove().decided);
                }
            }
        }
        shares.keySet().retainAll(workspaces.keySet());
        decided.forEach(Runnable::run);
    }

    /**
     * Returns what was asked and spent since the last report that was answered, and returns the tokens that were
     * granted and not spent.
     *
     * @param nowNanos the reading of the clock
     * @return the usage of each workspace that asked lately
     */
    public List<WorkspaceUsage> collectUsage(long nowNanos) {
        List<WorkspaceUsage> usages = new ArrayList<>();
        shares.forEach((name, share) -> {
            share.accrue(nowNanos);
            double seconds = Math.max(1, nowNanos - share.reportedAtNanos) / NANOS_PER_SECOND;
            double weight = Math.min(1.0, NEWEST * Math.min(2.0, seconds / 0.25));
            share.demand += weight * (share.asked / seconds - share.demand);
            share.spentInReport = Math.max(0, share.spent);
            WorkspaceUsage.Builder usage = WorkspaceUsage.newBuilder()
                    .setName(name)
                    .setDemand((long) share.demand)
                    .setHeld((long) share.rate)
                    .setSpent(share.spentInReport)
                    .setReturned(share.granted);
            share.granted = 0;
            share.neededInReport = 0;
            for (Waiting waiting : share.waiting) {
                usage.addNeeds(waiting.tokens);
                waiting.isReported = true;
                share.neededInReport += waiting.tokens;
            }
            usages.add(usage.build());
            share.asked = 0;
            share.reportedAtNanos = nowNanos;
        });
        return usages;
    }
}
