package org.borageproxy.lease;

/**
 * A role in the fleet that at most one VM performs at a time, under a lease of the control group. Immutable and thread
 * safe.
 *
 * @param name the key of the lease, such as {@code placement} or {@code quota/3}
 */
public record Duty(String name) {

    /** Decides which models are loaded on which engines. */
    public static final Duty PLACEMENT = new Duty("placement");

    /**
     * Returns the duty of tracking the rates of the workspaces in one quota shard.
     *
     * @param shard the number of the shard
     * @return the duty
     */
    public static Duty quotaShard(int shard) {
        return new Duty("quota/" + shard);
    }
}
