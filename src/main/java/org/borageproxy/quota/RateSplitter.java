package org.borageproxy.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * Divides one workspace's rate among the entries by their demand. The shares that entries may still hold never exceed
 * the rate: the share of an entry that fell silent is kept back until it has lapsed there. Not thread safe.
 */
public final class RateSplitter {

    /** How long the share of a silent entry is kept back; longer than it holds there. */
    private static final Duration KEPT_BACK = RateShares.VALIDITY.plusSeconds(2);
    /** How long after a report an entry's spending is taken for known. */
    private static final Duration SILENCE = Duration.ofMillis(500);
    /** The part of the burst that is saved here; entries save the rest. */
    private static final double SAVED_HERE = 0.6;
    /** The part of the unspent tokens that is handed out before anyone asks. */
    private static final double HANDED_OUT = 0.4;
    /** The part of the unspent tokens that one report may get. */
    private static final double GRANTED = 0.8;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<VmName, Holder> holders = new HashMap<>();
    private final Limit limit;
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
    }

    /**
     * What an entry reports.
     *
     * @param demand the rate that it asks for, in tokens per second
     * @param held the rate that it holds
     * @param spent the tokens of its share spent since its last report
     * @param needed the tokens that requests wait for
     */
    public record Report(double demand, double held, long spent, long needed) {}

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
     * @param rate tokens per second
     * @param extra tokens that may be spent at once beyond the rate until the next report
     */
    public record Part(long rate, long extra) {}

    /**
     * Notes an entry of which only the name is known, and which may hold its part of the rate.
     *
     * @param entry the entry
     * @param share the share that it may hold
     * @param nowNanos the reading of the clock
     */
    public void suppose(VmName entry, double share, long nowNanos) {
        holders.computeIfAbsent(entry, name -> {
            Holder holder = new Holder();
            holder.share = share;
            holder.keptUntil = Deadline.after(nowNanos, KEPT_BACK);
            holder.silentFrom = new Deadline(nowNanos);
            return holder;
        });
    }

    /**
     * Takes a report and gives the entry its part.
     *
     * @param entry the entry
     * @param report the report
     * @param nowNanos the reading of the clock
     * @return the part
     */
    public Part report(VmName entry, Report report, long nowNanos) {
        Holder holder = holders.computeIfAbsent(entry, name -> new Holder());
        holder.demand = report.demand();
        holder.share = report.held();
        holder.keptUntil = Deadline.after(nowNanos, KEPT_BACK);
        holder.silentFrom = Deadline.after(nowNanos, SILENCE);
        holders.values().removeIf(other -> other.keptUntil.hasPassed(nowNanos));
        double others = holders.values().stream()
                .filter(other -> other != holder)
                .mapToDouble(other -> other.share)
                .sum();
        double free = Math.max(0, limit.rate() - others);
        holder.share = Math.min(free, wanted(holder, limit.rate()));
        return new Part((long) holder.share, extra(report, nowNanos));
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

    // Tokens granted beyond shares count as spent at once; what an entry leaves of them is lost. A silent entry is
    // taken to spend its whole share.
    private long extra(Report report, long nowNanos) {
        double seconds = Math.max(0, nowNanos - accruedAtNanos) / NANOS_PER_SECOND;
        accruedAtNanos = nowNanos;
        double silent = holders.values().stream()
                .filter(holder -> holder.silentFrom.hasPassed(nowNanos))
                .mapToDouble(holder -> holder.share)
                .sum();
        unspent = Math.min(limit.burst() * SAVED_HERE, unspent + Math.max(0, limit.rate() - silent) * seconds)
                - report.spent();
        double spendable = Math.max(0, unspent);
        double wished = Math.max(report.needed(), spendable * HANDED_OUT / Math.max(1, holders.size()));
        long granted = (long) Math.min(wished, spendable * GRANTED);
        unspent -= granted;
        return granted;
    }
}
