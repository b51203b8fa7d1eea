package org.borageproxy.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * Gives out one workspace's tokens to the entries that need them, and divides its rate into the shares that they spend
 * while they do not reach the coordinator. The shares that entries may still hold never exceed the rate: the share of
 * an entry that fell silent is kept back until it has lapsed there. Not thread safe.
 */
public final class RateSplitter {

    /** How long the share of a silent entry is kept back; longer than it holds there. */
    private static final Duration KEPT_BACK = RateShares.SHARE_VALIDITY.plusSeconds(2);
    /** The part of the burst from which on unspent tokens are granted before anyone asks. */
    private static final double RESERVED = 0.5;
    /** The part of the tokens above it that all entries together hold. */
    private static final double HANDED_OUT = 0.6;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<VmName, Holder> holders = new HashMap<>();
    private Limit limit;
    private double unspent;
    private long accruedAtNanos;

    /**
     * A workspace's rate.
     *
     * @param rate tokens per second
     * @param burst tokens that may be spent beyond the rate
     */
    public record Limit(long rate, long burst) {}

    private static final class Holder {
        private double share;
        private double demand;
        private Deadline keptUntil;
        private Deadline silentFrom;
        private double supposedSpent;
    }

    /**
     * What an entry reports.
     *
     * @param demand the rate that it asks for, in tokens per second
     * @param share the rate that it holds
     * @param spent the tokens of its share that it spent without a grant
     * @param returned the granted tokens that it did not spend
     * @param pendingTokens the tokens of each request that waits for a grant, oldest first
     */
    public record Report(double demand, double share, long spent, long returned, List<Long> pendingTokens) {

        /**
         * Copies the needs.
         *
         * @param demand the rate that it asks for, in tokens per second
         * @param share the rate that it holds
         * @param spent the tokens of its share that it spent without a grant
         * @param returned the granted tokens that it did not spend
         * @param pendingTokens the tokens of each request that waits for a grant, oldest first
         */
        public Report {
            pendingTokens = List.copyOf(pendingTokens);
        }
    }

    /**
     * Divides a rate of which nothing is known to be unspent.
     *
     * @param limit the rate
     * @param nowNanos the reading of the clock
     */
    public RateSplitter(Limit limit, long nowNanos) {
        this.limit = limit;
        this.accruedAtNanos = nowNanos;
    }

    /**
     * Returns the divided rate.
     *
     * @return the rate
     */
    public Limit limit() {
        return limit;
    }

    /**
     * An entry's part.
     *
     * @param rate tokens per second that may be spent without grants
     * @param granted tokens that may be spent until the next report
     */
    public record Allocation(long rate, long granted) {}

    /**
     * Notes an entry of which only the name is known, and which may hold its part of the rate.
     *
     * @param entry the entry
     * @param share the share that it may hold
     * @param nowNanos the reading of the clock
     */
    public void assumeShare(VmName entry, double share, long nowNanos) {
        holders.computeIfAbsent(entry, name -> {
            Holder holder = new Holder();
            holder.share = share;
            holder.keptUntil = Deadline.after(nowNanos, KEPT_BACK);
            holder.silentFrom = new Deadline(nowNanos);
            return holder;
        });
    }

    /**
     * Notes that an entry holds no part of the rate, since nothing was asked of it there.
     *
     * @param entry the entry
     * @param nowNanos the reading of the clock
     */
    public void recordNoUsage(VmName entry, long nowNanos) {
        Holder holder = heard(entry, nowNanos);
        holder.demand = 0;
        holder.share = 0;
    }

    /**
     * Changes the rate.
     *
     * @param changed the new rate
     * @param nowNanos the reading of the clock
     */
    public void changeLimit(Limit changed, long nowNanos) {
        accrue(nowNanos);
        limit = changed;
        unspent = Math.min(unspent, limit.burst());
    }

    /**
     * Takes a report and gives the entry its part.
     *
     * @param entry the entry
     * @param report the report
     * @param nowNanos the reading of the clock
     * @return the part
     */
    public Allocation handleReport(VmName entry, Report report, long nowNanos) {
        Holder holder = heard(entry, nowNanos);
        unspent += report.returned() - report.spent();
        holder.demand = report.demand();
        holder.share = report.share();
        holders.values().removeIf(other -> other.keptUntil.hasPassed(nowNanos));
        double others = holders.values().stream()
                .filter(other -> other != holder)
                .mapToDouble(other -> other.share)
                .sum();
        double free = Math.max(0, limit.rate() - others);
        holder.share = Math.min(free, wanted(holder, limit.rate()));
        return new Allocation((long) holder.share, granted(report));
    }

    private Holder heard(VmName entry, long nowNanos) {
        accrue(nowNanos);
        Holder holder = holders.computeIfAbsent(entry, name -> new Holder());
        unspent += holder.supposedSpent;
        holder.supposedSpent = 0;
        holder.keptUntil = Deadline.after(nowNanos, KEPT_BACK);
        holder.silentFrom = Deadline.after(nowNanos, RateShares.GRANT_VALIDITY);
        return holder;
    }

    private double wanted(Holder holder, long rate) {
        double total =
                holders.values().stream().mapToDouble(each -> each.demand).sum();
        int count = holders.size();
        if (total <= rate) {
            return holder.demand + (rate - total) / count;
        }
        return Math.min(holder.demand, level(rate));
    }

    // Water filling: an entry with little demand does not suffer from one with much.
    private double level(long rate) {
        double rest = rate;
        double[] demands = holders.values().stream()
                .mapToDouble(each -> each.demand)
                .sorted()
                .toArray();
        for (int index = 0; index < demands.length; index++) {
            double equal = rest / (demands.length - index);
            if (demands[index] >= equal) {
                return equal;
            }
            rest -= demands[index];
        }
        return rate;
    }

    // A silent entry is taken to spend its whole share until it reports again.
    private void accrue(long nowNanos) {
        double seconds = Math.max(0, nowNanos - accruedAtNanos) / NANOS_PER_SECOND;
        accruedAtNanos = nowNanos;
        double silent = 0;
        for (Holder holder : holders.values()) {
            if (holder.silentFrom.hasPassed(nowNanos)) {
                holder.supposedSpent += holder.share * seconds;
                silent += holder.share;
            }
        }
        unspent = Math.min(limit.burst(), unspent + Math.max(0, limit.rate() - silent) * seconds);
    }

    // The last request that is granted its tokens may take more than there are: otherwise small requests would always
    // use up what a large one needs.
    private long granted(Report report) {
        unspent = Math.min(limit.burst(), unspent);
        long granted = 0;
        for (long need : report.pendingTokens()) {
            if (unspent <= 0) {
                break;
            }
            granted += need;
            unspent -= need;
        }
        double ample = Math.max(0, unspent - limit.burst() * RESERVED);
        long ahead = (long) (ample * HANDED_OUT / Math.max(1, holders.size()));
        unspent -= ahead;
        return granted + ahead;
    }
}
