package org.borageproxy.quota;

import java.time.Duration;
import java.util.ArrayList;
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
 * An entry's parts of the workspaces' rates. The coordinator divides each rate; a share that is not renewed lapses, so
 * that an entry that lost the coordinator spends nothing that another entry may have been given. Not thread safe; used
 * by the event loop of the requests.
 */
public final class RateShares {

    /** How long a share holds without renewal; the coordinator keeps it back for longer. */
    public static final Duration VALIDITY = Duration.ofSeconds(10);
    /** How long the allowance beyond the rate holds without renewal. */
    private static final Duration EXTRA_VALIDITY = Duration.ofMillis(900);
    /** How long a workspace whose need was not met counts as exhausted. */
    private static final Duration EXHAUSTION = Duration.ofMillis(150);
    /** The part of a rate that an entry may spend before its first share. */
    private static final double FIRST_SHARE = 1.0 / 16;
    /** Seconds of its rate that an entry may save; the coordinator saves the rest of the burst. */
    private static final double SAVED_SECONDS = 0.4;
    /** The weight of the newest second in the measured demand. */
    private static final double NEWEST = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Share> shares = new HashMap<>();
    private Runnable shortage = () -> {};

    private static final class Share {
        private double rate;
        private double level;
        private double extra;
        private long accruedAtNanos;
        private Deadline lapsesAt;
        private Deadline extraLapsesAt;
        private Deadline exhaustedUntil;
        private long neededAtReport;
        private long asked;
        private long spent;
        private long needed;
        private double demand;
        private long reportedAtNanos;

        private void accrue(long nowNanos) {
            double seconds = Math.max(0, nowNanos - accruedAtNanos) / NANOS_PER_SECOND;
            accruedAtNanos = nowNanos;
            if (lapsesAt.hasPassed(nowNanos)) {
                rate = 0;
                level = Math.min(level, 0);
            }
            if (extraLapsesAt.hasPassed(nowNanos)) {
                extra = 0;
            }
            level = Math.min(level + rate * seconds, rate * SAVED_SECONDS);
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
     * @param time the time after which they may be there
     * @param isAsked whether the coordinator was asked and may grant them within milliseconds
     */
    public record Shortage(Duration time, boolean isAsked) {}

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
        share.accrue(nowNanos);
        boolean isAlone = share.extraLapsesAt.hasPassed(nowNanos);
        boolean mayOwe = isAlone && share.rate > 0 && share.level >= share.rate * SAVED_SECONDS;
        if (share.level + share.extra >= tokens || mayOwe) {
            double beyond = Math.max(0, Math.min(share.extra, tokens - Math.max(0, share.level)));
            share.extra -= beyond;
            share.level -= tokens - beyond;
            share.spent += (long) (tokens - beyond);
            return Optional.empty();
        }
        share.needed += tokens;
        shortage.run();
        double rate = workspace.rate();
        double seconds = Math.min(VALIDITY.toSeconds(), (tokens - Math.min(0, share.level)) / Math.max(1.0, rate));
        boolean isAsked = !isAlone && share.exhaustedUntil.hasPassed(nowNanos);
        return Optional.of(new Shortage(Duration.ofNanos((long) (seconds * NANOS_PER_SECOND)), isAsked));
    }

    /**
     * Counts what a workspace asks for.
     *
     * @param workspace the workspace
     * @param tokens the tokens of a request
     * @param nowNanos the reading of the clock
     */
    public void asked(PublishedWorkspace workspace, long tokens, long nowNanos) {
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
                        "limit:%d/%d,share:%.0f,level:%.0f,extra:%.0f,demand:%.0f",
                        workspace.rate(),
                        workspace.burst(),
                        share.rate,
                        share.level,
                        share.extra,
                        share.demand);
    }

    /**
     * Gives back tokens of a request that did not run.
     *
     * @param workspace the workspace
     * @param tokens the tokens
     */
    public void refund(PublishedWorkspace workspace, long tokens) {
        Share share = shares.get(workspace.name());
        if (workspace.isLimited() && share != null) {
            share.level += tokens;
            share.spent -= tokens;
        }
    }

    private Share share(PublishedWorkspace workspace, long nowNanos) {
        return shares.computeIfAbsent(workspace.name(), name -> {
            Share share = new Share();
            share.rate = workspace.rate() * FIRST_SHARE;
            share.level = workspace.burst() * FIRST_SHARE;
            share.accruedAtNanos = nowNanos;
            share.lapsesAt = Deadline.after(nowNanos, VALIDITY);
            share.extraLapsesAt = new Deadline(nowNanos);
            share.exhaustedUntil = new Deadline(nowNanos);
            share.reportedAtNanos = nowNanos;
            return share;
        });
    }

    /**
     * Takes the shares that the coordinator gives.
     *
     * @param workspaces the limited workspaces by name
     * @param given the shares
     * @param askedAtNanos when the coordinator was asked
     */
    public void renew(Map<String, PublishedWorkspace> workspaces, List<RateShare> given, long askedAtNanos) {
        for (RateShare renewal : given) {
            PublishedWorkspace workspace = workspaces.get(renewal.getWorkspace());
            if (workspace != null) {
                Share share = share(workspace, askedAtNanos);
                share.accrue(Math.max(askedAtNanos, share.accruedAtNanos));
                share.rate = renewal.getRate();
                share.level = Math.min(share.level, share.rate * SAVED_SECONDS);
                share.extra += renewal.getExtra();
                if (renewal.getExtra() < share.neededAtReport) {
                    share.exhaustedUntil = Deadline.after(askedAtNanos, EXHAUSTION);
                }
                share.lapsesAt = Deadline.after(askedAtNanos, VALIDITY);
                share.extraLapsesAt = Deadline.after(askedAtNanos, EXTRA_VALIDITY);
            }
        }
        shares.keySet().retainAll(workspaces.keySet());
    }

    /**
     * Returns what was asked and spent since the last call.
     *
     * @param nowNanos the reading of the clock
     * @return the usage of each workspace that asked lately
     */
    public List<WorkspaceUsage> takeUsage(long nowNanos) {
        List<WorkspaceUsage> usages = new ArrayList<>();
        shares.forEach((name, share) -> {
            share.accrue(nowNanos);
            double seconds = Math.max(1, nowNanos - share.reportedAtNanos) / NANOS_PER_SECOND;
            double weight = Math.min(1.0, NEWEST * Math.min(2.0, seconds / 0.25));
            share.demand += weight * (share.asked / seconds - share.demand);
            usages.add(WorkspaceUsage.newBuilder()
                    .setName(name)
                    .setDemand((long) share.demand)
                    .setHeld((long) share.rate)
                    .setSpent(Math.max(0, share.spent))
                    .setNeeded(share.needed)
                    .build());
            share.neededAtReport = share.needed;
            share.needed = 0;
            share.asked = 0;
            share.spent = Math.min(0, share.spent);
            share.reportedAtNanos = nowNanos;
        });
        return usages;
    }
}
