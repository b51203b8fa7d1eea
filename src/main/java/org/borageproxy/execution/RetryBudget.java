package org.borageproxy.execution;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;

/**
 * Limits retries to a ratio of the requests of this VM, so that retries cannot multiply the load during an outage.
 * Every request deposits a fraction of a retry; a retry withdraws a whole one. The balance stays between zero and the
 * maximum. A maximum below one retry, as the share of a VM in a large fleet is, would permit none at all; such a
 * balance is drawn for instead, and spent whatever the draw, so that the VMs together spend what they are entitled to
 * on average. Thread safe.
 */
public final class RetryBudget {

    private final double ratio;
    private final DoubleSupplier random;
    private double maximum;
    private double balance;

    /**
     * Creates a budget whose balance is the maximum.
     *
     * @param ratio the fraction of a retry that each request deposits
     * @param maximum the maximum balance, in retries
     */
    public RetryBudget(double ratio, double maximum) {
        this(ratio, maximum, () -> ThreadLocalRandom.current().nextDouble());
    }

    /**
     * Creates a budget whose balance is the maximum.
     *
     * @param ratio the fraction of a retry that each request deposits
     * @param maximum the maximum balance, in retries
     * @param random supplies numbers from zero to one, without one
     */
    RetryBudget(double ratio, double maximum, DoubleSupplier random) {
        this.ratio = ratio;
        this.random = random;
        this.maximum = maximum;
        this.balance = maximum;
    }

    /** Deposits the fraction of a retry that belongs to one request. */
    public synchronized void deposit() {
        balance = Math.min(maximum, balance + ratio);
    }

    /**
     * Withdraws one retry if the balance allows it.
     *
     * @return {@code true} if the retry is permitted
     */
    public synchronized boolean tryWithdraw() {
        if (maximum < 1.0) {
            boolean isDrawn = random.getAsDouble() < balance;
            balance = 0;
            return isDrawn;
        }
        if (balance < 1.0) {
            return false;
        }
        balance -= 1.0;
        return true;
    }

    /**
     * Changes the maximum balance. A larger balance is reduced to it; a smaller one stays, since a maximum that falls
     * and rises again must not refill the budget.
     *
     * @param newMaximum the maximum balance, in retries
     */
    public synchronized void setMaximum(double newMaximum) {
        maximum = newMaximum;
        balance = Math.min(balance, maximum);
    }

    /**
     * Replaces an assumed maximum balance by the known one. The balance becomes what it would be if the budget had
     * begun with it, or zero.
     *
     * @param knownMaximum the maximum balance, in retries
     */
    public synchronized void correctMaximum(double knownMaximum) {
        balance = Math.max(0, Math.min(balance + knownMaximum - maximum, knownMaximum));
        maximum = knownMaximum;
    }
}
