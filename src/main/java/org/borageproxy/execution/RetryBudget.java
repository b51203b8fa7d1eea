package org.borageproxy.execution;

/**
 * Limits retries to a share of the traffic of this VM, so that retries cannot multiply the load of an outage. Every
 * first attempt deposits a share of a retry; a retry withdraws a whole one. The balance stays between zero and the
 * maximum. Safe for use by any thread; its lock is a leaf.
 */
public final class RetryBudget {

    /** The share of a retry that a first attempt deposits. */
    private final double share;
    /** The largest balance, in retries. */
    private double maximum;
    /** The balance in retries. */
    private double balance;

    /**
     * Creates a full budget.
     *
     * @param share the share of a retry that a first attempt deposits
     * @param maximum the largest balance, in retries
     */
    public RetryBudget(double share, double maximum) {
        this.share = share;
        this.maximum = maximum;
        this.balance = maximum;
    }

    /** Deposits the share of a first attempt. */
    public synchronized void deposit() {
        balance = Math.min(maximum, balance + share);
    }

    /**
     * Withdraws a retry.
     *
     * @return {@code true} if the retry may take place
     */
    public synchronized boolean tryWithdraw() {
        if (balance < 1.0) {
            return false;
        }
        balance -= 1.0;
        return true;
    }

    /**
     * Changes the largest balance.
     *
     * @param newMaximum the largest balance, in retries
     */
    public synchronized void setMaximum(double newMaximum) {
        maximum = newMaximum;
        balance = Math.min(balance, maximum);
    }
}
