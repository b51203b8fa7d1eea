package org.borageproxy.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * Divides one workspace's rate limit among the entries on the coordinator: grants tokens for pending requests, and
 * assigns shares of the rate that entries spend while they cannot reach the coordinator. The sum of the shares that
 * entries may hold never exceeds the rate, since the share of a silent entry stays reserved until it has expired on
 * that entry. Not thread safe.
 */
public final class RateSplitter {

    /** Time for which the share of a silent entry stays reserved; longer than the share is valid on the entry. */
    private static final Duration SILENT_SHARE_RETENTION = RateShares.SHARE_VALIDITY.plusSeconds(2);
    /** Fraction of the burst above which unspent tokens are granted in advance. */
    private static final double PREGRANT_THRESHOLD = 0.5;
    /** Fraction of the tokens above the threshold that is granted in advance, split evenly among all entries. */
    private static final double PREGRANTED_FRACTION = 0.6;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<VmName, EntryState> entries = new HashMap<>();
    private Limit limit;
    private double unspentTokens;
    private long refilledAtNanos;

    /**
     * A workspace's rate limit.
     *
     * @param rate the tokens per second
     * @param burst the maximum number of unspent tokens that accumulate
     */
    public record Limit(long rate, long burst) {}

    private static final class EntryState {
        private double share;
        private double demand;
        private Deadline retainedUntil;
        /** Time from which the entry is assumed to spend its share without grants. */
        private Deadline silentAfter;
        /** Tokens withheld for the time without a report; available again once the entry reports that it spent less. */
        private double withheldTokens;
        /** Part of the share, for the time without a report, that would have exceeded the burst if left unspent. */
        private double overflowedTokens;
    }

    /**
     * An entry's report about the workspace.
     *
     * @param demand the requested rate in tokens per second
     * @param share the share that the entry holds, in tokens per second
     * @param spent the tokens that it spent from its share, without a grant
     * @param returned the granted tokens that it did not spend
     * @param pendingTokens the tokens of each request that waits for a grant, oldest first
     */
    public record Report(double demand, double share, long spent, long returned, List<Long> pendingTokens) {

        /**
         * Copies the list.
         *
         * @param demand the requested rate in tokens per second
         * @param share the share that the entry holds, in tokens per second
         * @param spent the tokens that it spent from its share, without a grant
         * @param returned the granted tokens that it did not spend
         * @param pendingTokens the tokens of each request that waits for a grant, oldest first
         */
        public Report {
            pendingTokens = List.copyOf(pendingTokens);
        }
    }

    /**
     * Creates a splitter without unspent tokens.
     *
     * @param limit the rate limit
     * @param nowNanos the current time of the clock
     */
    public RateSplitter(Limit limit, long nowNanos) {
        this.limit = limit;
        this.refilledAtNanos = nowNanos;
    }

    /**
     * Returns the rate limit.
     *
     * @return the limit currently divided
     */
    public Limit limit() {
        return limit;
    }

    /**
     * The reply to an entry's report.
     *
     * @param rate the share in tokens per second, which may be spent without grants while the coordinator does not
     *     reply
     * @param granted the tokens that may be spent until the next report
     */
    public record Allocation(long rate, long granted) {}

    /**
     * Registers an entry that has not reported yet but may hold a share. Has no effect if the entry is known.
     *
     * @param entry the entry
     * @param share the share that it may hold, in tokens per second
     * @param nowNanos the current time of the clock
     */
    public void assumeShare(VmName entry, double share, long nowNanos) {
        entries.computeIfAbsent(entry, name -> {
            EntryState state = new EntryState();
            state.share = share;
            state.retainedUntil = Deadline.after(nowNanos, SILENT_SHARE_RETENTION);
            state.silentAfter = new Deadline(nowNanos);
            return state;
        });
    }

    /**
     * Records a report that does not mention the workspace: the entry holds no share and had no demand.
     *
     * @param entry the entry
     * @param nowNanos the current time of the clock
     */
    public void recordNoUsage(VmName entry, long nowNanos) {
        EntryState state = recordContact(entry, 0, nowNanos);
        state.demand = 0;
        state.share = 0;
    }

    /**
     * Changes the rate limit; unspent tokens are capped at the new burst.
     *
     * @param newLimit the new limit
     * @param nowNanos the current time of the clock
     */
    public void changeLimit(Limit newLimit, long nowNanos) {
        refill(nowNanos);
        limit = newLimit;
        unspentTokens = Math.min(unspentTokens, limit.burst());
    }

    /**
     * Applies an entry's report and computes its new share and grant.
     *
     * @param entry the entry
     * @param report the report
     * @param nowNanos the current time of the clock
     * @return the share and grant
     */
    public Allocation handleReport(VmName entry, Report report, long nowNanos) {
        EntryState state = recordContact(entry, report.spent(), nowNanos);
        unspentTokens += report.returned();
        state.demand = report.demand();
        state.share = report.share();
        entries.values().removeIf(other -> other.retainedUntil.hasPassed(nowNanos));
        double sharesOfOthers = entries.values().stream()
                .filter(other -> other != state)
                .mapToDouble(other -> other.share)
                .sum();
        double freeRate = Math.max(0, limit.rate() - sharesOfOthers);
        state.share = Math.min(freeRate, fairShare(state, limit.rate()));
        return new Allocation((long) state.share, grant(report));
    }

    /**
     * Records that an entry has reported, and replaces the spending assumed while it was silent by what it spent.
     * Tokens that overflowed meanwhile cover their part of the spending, but are not available again.
     */
    private EntryState recordContact(VmName entry, long spent, long nowNanos) {
        refill(nowNanos);
        EntryState state = entries.computeIfAbsent(entry, name -> new EntryState());
        unspentTokens += state.withheldTokens - Math.max(0, spent - state.overflowedTokens);
        state.withheldTokens = 0;
        state.overflowedTokens = 0;
        state.retainedUntil = Deadline.after(nowNanos, SILENT_SHARE_RETENTION);
        state.silentAfter = Deadline.after(nowNanos, RateShares.GRANT_VALIDITY);
        return state;
    }

    /**
     * Returns the entry's demand plus an equal part of the spare rate, or its max-min fair share if the demands exceed
     * the rate.
     */
    private double fairShare(EntryState state, long rate) {
        double total =
                entries.values().stream().mapToDouble(each -> each.demand).sum();
        int count = entries.size();
        if (total <= rate) {
            return state.demand + (rate - total) / count;
        }
        return Math.min(state.demand, waterLevel(rate));
    }

    // Max-min fairness by water filling: a low demand is met in full before a high demand gets more than that.
    private double waterLevel(long rate) {
        double remaining = rate;
        double[] demands = entries.values().stream()
                .mapToDouble(each -> each.demand)
                .sorted()
                .toArray();
        for (int index = 0; index < demands.length; index++) {
            double equalShare = remaining / (demands.length - index);
            if (demands[index] >= equalShare) {
                return equalShare;
            }
            remaining -= demands[index];
        }
        return rate;
    }

    // The share of an entry that does not report is withheld until its next report tells how much of it was spent.
    private void refill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
        refilledAtNanos = nowNanos;
        double silentShares = 0;
        double withheldTokens = 0;
        for (EntryState state : entries.values()) {
            if (state.silentAfter.hasPassed(nowNanos)) {
                state.withheldTokens += state.share * seconds;
                silentShares += state.share;
            }
            withheldTokens += state.withheldTokens;
        }
        unspentTokens = Math.min(limit.burst(), unspentTokens + Math.max(0, limit.rate() - silentShares) * seconds);
        dropOverflow(unspentTokens + withheldTokens - limit.burst());
    }

    // Without this, the entries that return from a silence would together make several times the burst available.
    private void dropOverflow(double overflow) {
        double remaining = overflow;
        for (EntryState state : entries.values()) {
            if (remaining <= 0) {
                return;
            }
            double dropped = Math.min(state.withheldTokens, remaining);
            state.withheldTokens -= dropped;
            state.overflowedTokens += dropped;
            remaining -= dropped;
        }
    }

    // The last granted request may exceed the unspent tokens: otherwise small requests would always use up the tokens
    // that a large one needs.
    private long grant(Report report) {
        unspentTokens = Math.min(limit.burst(), unspentTokens);
        long granted = 0;
        for (long tokens : report.pendingTokens()) {
            if (unspentTokens <= 0) {
                break;
            }
            granted += tokens;
            unspentTokens -= tokens;
        }
        double excess = Math.max(0, unspentTokens - limit.burst() * PREGRANT_THRESHOLD);
        long advance = (long) (excess * PREGRANTED_FRACTION / Math.max(1, entries.size()));
        unspentTokens -= advance;
        return granted + advance;
    }
}
