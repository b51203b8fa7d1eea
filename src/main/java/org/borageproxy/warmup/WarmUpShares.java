package org.borageproxy.warmup;

/**
 * Division of the requests that cold servers take between the coordinator, which grants them to the entries, and the
 * entries that select servers without it. Both may send at the same time, as when some entries are cut off. In any
 * second the coordinator grants at most 1.25 times its rate and one request more, and the entries at most twice theirs,
 * so that the two together stay within the permitted factor. Immutable and thread safe.
 *
 * @param coordinatorFactor the rate of the coordinator, relative to the stated one
 * @param entriesFactor the rate of all entries together, relative to the stated one
 */
public record WarmUpShares(double coordinatorFactor, double entriesFactor) {

    /** Requests of one second of the coordinator's rate, with those saved before; see RequestPermits. */
    private static final double COORDINATOR_BURST = 1.25;
    /** Part of the permitted factor that the coordinator uses at most; the rest is left to the entries. */
    private static final double COORDINATOR_PART = 0.9;
    /** Part of the remainder that the entries use. Their permits are drawn at random, which takes up the rest. */
    private static final double ENTRIES_PART = 0.6;
    /** Seconds of their rate that entries may spend in one. */
    private static final double ENTRIES_BURST = 2;

    private static final double MIN_SLACK = 3;

    /**
     * Divides the permitted requests.
     *
     * @param overage the factor by which the stated rate may be exceeded in a second
     * @param slack the number of requests in a second beyond that; with less than three, entries get no share, since
     *     the number of permits that they draw varies by about two in a second
     * @return the shares
     */
    public static WarmUpShares within(double overage, double slack) {
        double coordinator = Math.min(1, overage * COORDINATOR_PART / COORDINATOR_BURST);
        double entries = Math.max(0, overage - coordinator * COORDINATOR_BURST) * ENTRIES_PART / ENTRIES_BURST;
        return new WarmUpShares(coordinator, slack < MIN_SLACK ? 0 : entries);
    }
}
