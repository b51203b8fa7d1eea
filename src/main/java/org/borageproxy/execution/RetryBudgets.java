package org.borageproxy.execution;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;

/**
 * The retry budgets of the services of one entry, each with this entry's share of the burst that the fleet may spend on
 * retries of a service. Until the number of entries is known, a number is assumed. Not thread safe; confined to one
 * event loop.
 */
public final class RetryBudgets {

    /** Number of entries assumed until the first update of the coordinator. */
    public static final int ASSUMED_ENTRY_COUNT = 16;

    /** Fraction of the fleet-wide retry burst that the entries share; the rest covers entries not counted yet. */
    private static final double BURST_FRACTION = 0.6;
    /** Fraction of the retry ratio that is used; the rest is a margin for windows with more retries than average. */
    private static final double RATIO_FRACTION = 0.75;

    private final double ratio;
    private final double fleetBurst;
    private final DoubleSupplier random;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private int entryCount = ASSUMED_ENTRY_COUNT;
    private boolean isEntryCountKnown;

    /**
     * Creates the budgets of an entry that does not know the number of entries.
     *
     * @param ratio the retries of the fleet for each request, beyond the burst
     * @param fleetBurst the retries of the fleet in addition, for each service
     */
    public RetryBudgets(double ratio, double fleetBurst) {
        this(ratio, fleetBurst, () -> ThreadLocalRandom.current().nextDouble());
    }

    RetryBudgets(double ratio, double fleetBurst, DoubleSupplier random) {
        this.random = random;
        this.ratio = ratio;
        this.fleetBurst = fleetBurst;
    }

    /**
     * Returns the budget of a service.
     *
     * @param service the service
     * @return the budget, the same one for each call
     */
    public RetryBudget of(String service) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget(ratio * RATIO_FRACTION, burst(), random));
    }

    private double burst() {
        return fleetBurst * BURST_FRACTION / entryCount;
    }

    /**
     * Changes the number of entries that share the burst. The first number replaces the assumed one also for retries
     * that were not spent until then; later ones only reduce balances, since a new coordinator counts the entries from
     * one on.
     *
     * @param count the number, at least one
     */
    public void setEntryCount(int count) {
        if (isEntryCountKnown && count == entryCount) {
            return;
        }
        entryCount = count;
        if (isEntryCountKnown) {
            budgets.values().forEach(budget -> budget.setMaximum(burst()));
        } else {
            isEntryCountKnown = true;
            budgets.values().forEach(budget -> budget.correctMaximum(burst()));
        }
    }
}
