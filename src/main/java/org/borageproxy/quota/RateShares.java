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
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.time.Deadline;
import org.borageproxy.wire.proto.CoordinationProtocol.RateShare;
import org.borageproxy.wire.proto.CoordinationProtocol.WorkspaceUsage;

/**
 * An entry's tokens from the workspaces' rate limits. While the coordinator replies, the entry spends only tokens that
 * the coordinator has granted, and each report returns the unspent ones. While the coordinator does not reply, the
 * entry spends its share of the rate. A share that is not renewed expires, so an entry that has lost the coordinator
 * never spends a share that may have been assigned to another entry. Not thread safe; used by the event loop of the
 * requests.
 */
public final class RateShares {

    /** Validity of a share without renewal. The coordinator reserves the share for longer than that. */
    public static final Duration SHARE_VALIDITY = Duration.ofSeconds(10);
    /**
     * Validity of grants after the last answered report was sent: two report timeouts and the interval between them, so
     * that grants of a coordinator that answers slowly do not lapse between two answers. 500 ms refused half of the
     * requests of a workspace within its rate when answers took 300 ms.
     */
    public static final Duration GRANT_VALIDITY = Duration.ofMillis(950);
    /** Time after the start for which requests wait for the first grant; an entry finds the coordinator within it. */
    private static final Duration COORDINATOR_SEARCH_TIME = Duration.ofSeconds(2);
    /** Time for which a workspace counts as exhausted after a grant did not cover its pending requests. */
    private static final Duration EXHAUSTED_PERIOD = Duration.ofMillis(150);
    /** Minimum retry delay of a refused caller. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(300);
    /** Maximum delay added for earlier refused requests; demand is predictable for a few seconds only. */
    private static final Duration MAX_RETRY_BACKLOG = Duration.ofSeconds(5);
    /** Minimum number of entries among which the rate and the burst are assumed to be split before the first share. */
    private static final int MIN_INITIAL_ENTRIES = 16;
    /** Seconds of its share that an entry can accumulate while the coordinator does not reply. */
    private static final double MAX_SAVED_SECONDS = 0.4;
    /**
     * Seconds of its share that an entry can spend in advance while the coordinator does not reply, so that large
     * requests are admitted as well.
     */
    private static final double MAX_DEBT_SECONDS = 1;
    /** Weight of a report interval of 250 ms in the smoothed demand; twice as much for 500 ms and longer. */
    private static final double DEMAND_WEIGHT = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Share> shares = new HashMap<>();
    private final RandomGenerator random;
    private final IntSupplier entryCount;
    private final Deadline searchEndsAt;
    private boolean hadCoordinator;
    private Runnable shortageListener = () -> {};
    private Deadline grantsExpireAt;

    /**
     * Creates an instance without a coordinator, which spends initial shares.
     *
     * @param nowNanos the current time of the clock
     * @param random the source for draws of requests that exceed a small share
     * @param entryCount supplies the number of known entries
     */
    public RateShares(long nowNanos, RandomGenerator random, IntSupplier entryCount) {
        this.random = random;
        this.entryCount = entryCount;
        searchEndsAt = Deadline.after(nowNanos, COORDINATOR_SEARCH_TIME);
        grantsExpireAt = new Deadline(nowNanos);
    }

    private static final class Share {
        private final Deque<PendingRequest> pending = new ArrayDeque<>();
        /** Share of the workspace's rate, in tokens per second. */
        private double rate;
        /** Tokens of the share that can be spent while disconnected; negative after spending in advance. */
        private double level;
        /** Granted tokens that are not spent yet. */
        private long granted;

        private long refilledAtNanos;
        private Deadline shareExpiresAt;
        private Deadline grantsExpireAt;
        private Deadline exhaustedUntil;
        private Deadline retryBacklogUntil;
        /** Tokens requested since the last report. */
        private long requestedTokens;
        /** Tokens spent from the share and not included in an answered report. */
        private long spent;
        /** Part of {@link #spent} that the last report included. */
        private long reportedSpending;
        /** Total tokens of the pending requests that the last report included. */
        private long reportedNeed;
        /** Smoothed demand in tokens per second. */
        private double demand;

        private long reportedAtNanos;

        private void refill(long nowNanos) {
            long fromNanos = Math.max(refilledAtNanos, grantsExpireAt.atNanos());
            refilledAtNanos = nowNanos;
            if (!isDisconnected(nowNanos)) {
                return;
            }
            granted = 0;
            if (shareExpiresAt.hasPassed(nowNanos)) {
                rate = 0;
                level = Math.min(level, 0);
            }
            double seconds = Math.max(0, nowNanos - fromNanos) / NANOS_PER_SECOND;
            level = Math.min(level + rate * seconds, rate * MAX_SAVED_SECONDS);
        }

        // Requests that were refused earlier are expected to retry first.
        private Duration retryDelay(long tokens, PublishedWorkspace workspace, long nowNanos) {
            double seconds = (tokens - Math.min(0, level)) / Math.max(1.0, workspace.rate());
            long ownNanos = (long) (Math.min(SHARE_VALIDITY.toSeconds(), seconds) * NANOS_PER_SECOND);
            long backlogNanos = Math.max(0, retryBacklogUntil.remainingNanos(nowNanos));
            return Duration.ofNanos(Math.max(MIN_RETRY_DELAY.toNanos(), backlogNanos + ownNanos));
        }

        /** Returns whether grants have expired because the coordinator has not replied. */
        private boolean isDisconnected(long nowNanos) {
            return grantsExpireAt.hasPassed(nowNanos);
        }

        private boolean spend(long tokens, RandomGenerator random, long nowNanos) {
            refill(nowNanos);
            if (granted >= tokens) {
                granted -= tokens;
                return true;
            }
            return isDisconnected(nowNanos) && rate > 0 && spendShare(tokens, random);
        }

        // In a large fleet, a share is smaller than most requests. A request that exceeds it uses it up and is admitted
        // with the probability of the fraction covered, so that on average all entries together spend the rate.
        private boolean spendShare(long tokens, RandomGenerator random) {
            double available = level + rate * MAX_DEBT_SECONDS;
            if (available <= 0) {
                return false;
            }
            level -= Math.min(tokens, available);
            boolean isAdmitted = random.nextDouble() * tokens < available;
            if (isAdmitted) {
                spent += tokens;
            }
            return isAdmitted;
        }
    }

    private static final class PendingRequest {
        private final long tokens;
        private final Runnable onDecision;
        private boolean isReported;

        private PendingRequest(long tokens, Runnable onDecision) {
            this.tokens = tokens;
            this.onDecision = onDecision;
        }
    }

    /**
     * Sets the listener for requests that wait for a grant.
     *
     * @param listener sends a report to the coordinator without waiting for the next interval
     */
    public void onShortage(Runnable listener) {
        shortageListener = listener;
    }

    /**
     * The reason why tokens were not spent.
     *
     * @param retryAfter the predicted time until the tokens are available
     * @param isGrantable whether the coordinator may grant the tokens within milliseconds
     */
    public record Shortage(Duration retryAfter, boolean isGrantable) {}

    /**
     * Spends tokens of a workspace, if they are available.
     *
     * @param workspace the workspace
     * @param tokens the tokens of one request
     * @param nowNanos the current time of the clock
     * @return empty if the tokens were spent or the workspace is not limited
     */
    public Optional<Shortage> spend(PublishedWorkspace workspace, long tokens, long nowNanos) {
        if (!workspace.isLimited()) {
            return Optional.empty();
        }
        Share share = shareOf(workspace, nowNanos);
        if (share.spend(tokens, random, nowNanos)) {
            return Optional.empty();
        }
        boolean isSearching = !hadCoordinator && !searchEndsAt.hasPassed(nowNanos);
        boolean isGrantable =
                isSearching || !share.isDisconnected(nowNanos) && share.exhaustedUntil.hasPassed(nowNanos);
        return Optional.of(new Shortage(share.retryDelay(tokens, workspace, nowNanos), isGrantable));
    }

    /**
     * Queues a request whose tokens could not be spent until the coordinator has answered a report that includes it.
     * Requests receive tokens in the order of their calls.
     *
     * @param workspace the workspace
     * @param tokens the tokens of the request
     * @param onDecision called once after the answer, whether or not it granted the tokens; the caller then tries to
     *     spend them again; never called if the coordinator does not reply
     */
    public void awaitGrant(PublishedWorkspace workspace, long tokens, Runnable onDecision) {
        Share share = shares.get(workspace.name());
        if (share != null) {
            share.pending.add(new PendingRequest(tokens, onDecision));
            shortageListener.run();
        }
    }

    /**
     * Records a refused request that is expected to retry, so that the next refused one is given a longer delay.
     *
     * @param workspace the workspace
     * @param tokens the tokens of the request
     * @param nowNanos the current time of the clock
     */
    public void recordRefusal(PublishedWorkspace workspace, long tokens, long nowNanos) {
        Share share = shareOf(workspace, nowNanos);
        Duration retryTime = Duration.ofNanos((long) (tokens / Math.max(1.0, share.rate) * NANOS_PER_SECOND));
        Deadline backlogEnd = new Deadline(Math.max(nowNanos, share.retryBacklogUntil.atNanos()));
        share.retryBacklogUntil =
                Deadline.after(backlogEnd.atNanos(), retryTime).earlierOf(Deadline.after(nowNanos, MAX_RETRY_BACKLOG));
    }

    /**
     * Adds the tokens of a request to the workspace's demand, whether or not they can be spent.
     *
     * @param workspace the workspace
     * @param tokens the tokens of the request
     * @param nowNanos the current time of the clock
     */
    public void recordDemand(PublishedWorkspace workspace, long tokens, long nowNanos) {
        if (workspace.isLimited()) {
            shareOf(workspace, nowNanos).requestedTokens += tokens;
        }
    }

    /**
     * Formats the state of a workspace for log lines.
     *
     * @param workspace the workspace
     * @return the limit, share, level, grant and demand, or {@code none} before the first request
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
     * Refunds the tokens of a request that did not run.
     *
     * @param workspace the workspace
     * @param tokens the tokens
     * @param nowNanos the current time of the clock
     */
    public void refund(PublishedWorkspace workspace, long tokens, long nowNanos) {
        Share share = shares.get(workspace.name());
        if (!workspace.isLimited() || share == null) {
            return;
        }
        share.refill(nowNanos);
        if (share.isDisconnected(nowNanos)) {
            share.level += tokens;
            share.spent -= tokens;
        } else {
            share.granted += tokens;
        }
    }

    private Share shareOf(PublishedWorkspace workspace, long nowNanos) {
        return shares.computeIfAbsent(workspace.name(), name -> {
            Share share = new Share();
            double entries = Math.max(MIN_INITIAL_ENTRIES, entryCount.getAsInt());
            share.rate = workspace.rate() / entries;
            share.level = workspace.burst() / entries;
            share.refilledAtNanos = nowNanos;
            share.shareExpiresAt = Deadline.after(nowNanos, SHARE_VALIDITY);
            share.grantsExpireAt = grantsExpireAt;
            share.exhaustedUntil = new Deadline(nowNanos);
            share.retryBacklogUntil = new Deadline(nowNanos);
            share.reportedAtNanos = nowNanos;
            return share;
        });
    }

    /**
     * Applies the coordinator's reply to a report: renews shares, adds grants, and decides the requests that the report
     * included.
     *
     * @param workspaces the workspaces by name; the state of all others is removed
     * @param updates the shares and grants by workspace
     * @param sentAtNanos when the report was sent
     */
    public void applyShares(Map<String, PublishedWorkspace> workspaces, List<RateShare> updates, long sentAtNanos) {
        hadCoordinator = true;
        grantsExpireAt = Deadline.after(sentAtNanos, GRANT_VALIDITY);
        List<Runnable> decisions = new ArrayList<>();
        for (RateShare update : updates) {
            PublishedWorkspace workspace = workspaces.get(update.getWorkspace());
            if (workspace != null) {
                Share share = shareOf(workspace, sentAtNanos);
                share.refill(Math.max(sentAtNanos, share.refilledAtNanos));
                share.rate = update.getRate();
                share.level = Math.min(share.level, share.rate * MAX_SAVED_SECONDS);
                share.granted += update.getGranted();
                if (update.getGranted() < share.reportedNeed) {
                    share.exhaustedUntil = Deadline.after(sentAtNanos, EXHAUSTED_PERIOD);
                }
                share.spent -= share.reportedSpending;
                share.reportedSpending = 0;
                share.shareExpiresAt = Deadline.after(sentAtNanos, SHARE_VALIDITY);
                share.grantsExpireAt = grantsExpireAt;
                while (!share.pending.isEmpty() && share.pending.peek().isReported) {
                    decisions.add(share.pending.remove().onDecision);
                }
            }
        }
        shares.keySet().retainAll(workspaces.keySet());
        decisions.forEach(Runnable::run);
    }

    /**
     * Records that the coordinator did not answer a report in time: grants expire now, and this entry spends its share
     * until the next answer.
     *
     * @param nowNanos the current time of the clock
     */
    public void recordUnanswered(long nowNanos) {
        grantsExpireAt = grantsExpireAt.earlierOf(new Deadline(nowNanos));
        shares.values().forEach(share -> share.grantsExpireAt = share.grantsExpireAt.earlierOf(grantsExpireAt));
    }

    /**
     * Builds the next report: the smoothed demand, the tokens spent without a grant since the last answered report, and
     * the pending requests. Also returns the unspent granted tokens, which cannot be spent here any more.
     *
     * @param nowNanos the current time of the clock
     * @return the usage of each workspace with a share on this VM
     */
    public List<WorkspaceUsage> collectUsage(long nowNanos) {
        List<WorkspaceUsage> usages = new ArrayList<>();
        shares.forEach((name, share) -> {
            share.refill(nowNanos);
            double seconds = Math.max(1, nowNanos - share.reportedAtNanos) / NANOS_PER_SECOND;
            double weight = Math.min(1.0, DEMAND_WEIGHT * Math.min(2.0, seconds / 0.25));
            share.demand += weight * (share.requestedTokens / seconds - share.demand);
            share.reportedSpending = Math.max(0, share.spent);
            WorkspaceUsage.Builder usage = WorkspaceUsage.newBuilder()
                    .setName(name)
                    .setDemand((long) share.demand)
                    .setHeld((long) share.rate)
                    .setSpent(share.reportedSpending)
                    .setReturned(share.granted);
            share.granted = 0;
            share.reportedNeed = 0;
            for (PendingRequest request : share.pending) {
                usage.addNeeds(request.tokens);
                request.isReported = true;
                share.reportedNeed += request.tokens;
            }
            usages.add(usage.build());
            share.requestedTokens = 0;
            share.reportedAtNanos = nowNanos;
        });
        return usages;
    }
}
