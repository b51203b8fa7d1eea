package org.borageproxy.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
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
    /** The seconds over which spending is compared with the rate. */
    private static final int WINDOW_SECONDS = 8;
    /** The part of the window's tokens below which spending counts as low. */
    private static final double LOW_SPENDING = 0.75;
    /** The part of the unspent tokens that may be spent between two reports. */
    private static final double SPENDABLE = 0.5;

    private final Map<VmName, Holder> holders = new HashMap<>();
    private final Deque<Spending> spendings = new ArrayDeque<>();
    private long spentInWindow;

    private static final class Holder {
        private double share;
        private double demand;
        private Deadline keptUntil;
    }

    private record Spending(Deadline leavesWindowAt, long tokens) {}

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
            return holder;
        });
    }

    /**
     * Takes a report and gives the entry its part.
     *
     * @param entry the entry
     * @param demand the rate that it asks for, in tokens per second
     * @param held the rate that it holds
     * @param spent the tokens spent since its last report
     * @param rate the workspace's rate
     * @param nowNanos the reading of the clock
     * @return the part
     */
    public Part report(VmName entry, double demand, double held, long spent, long rate, long nowNanos) {
        note(spent, nowNanos);
        Holder holder = holders.computeIfAbsent(entry, name -> new Holder());
        holder.demand = demand;
        holder.share = held;
        holder.keptUntil = Deadline.after(nowNanos, KEPT_BACK);
        holders.values().removeIf(other -> other.keptUntil.hasPassed(nowNanos));
        double others = holders.values().stream()
                .filter(other -> other != holder)
                .mapToDouble(other -> other.share)
                .sum();
        double free = Math.max(0, rate - others);
        holder.share = Math.min(free, wanted(holder, rate));
        return new Part((long) holder.share, extra(rate));
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

    private void note(long spent, long nowNanos) {
        while (!spendings.isEmpty() && spendings.peek().leavesWindowAt().hasPassed(nowNanos)) {
            spentInWindow -= spendings.remove().tokens();
        }
        if (spent > 0) {
            spendings.add(new Spending(Deadline.after(nowNanos, Duration.ofSeconds(WINDOW_SECONDS)), spent));
            spentInWindow += spent;
        }
    }

    private long extra(long rate) {
        double window = (double) rate * WINDOW_SECONDS;
        double unspent = Math.max(0, window - spentInWindow) * SPENDABLE;
        boolean isLow = spentInWindow < window * LOW_SPENDING;
        return (long) (isLow ? unspent : unspent / Math.max(1, holders.size()));
    }
}
