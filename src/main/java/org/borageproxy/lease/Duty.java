package org.borageproxy.lease;

/**
 * A job that one VM at a time does for the fleet. Immutable and thread safe.
 *
 * @param name the duty's name, such as {@code placement} or {@code quota/3}
 */
public record Duty(String name) {

    /** The duty that decides which models are loaded where. */
    public static final Duty PLACEMENT = new Duty("placement");

    /**
     * Returns the duty that owns the rates of a shard of the workspaces.
     *
     * @param shard the shard's number
     * @return the duty
     */
    public static Duty quotaShard(int shard) {
        return new Duty("quota/" + shard);
    }
}
