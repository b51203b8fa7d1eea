package org.borageproxy.quota;

/** Assigns workspaces to shards. Stateless and thread safe. */
final class QuotaShards {

    /** A multiplier that spreads close values, from the golden ratio. */
    private static final int SPREADING_MULTIPLIER = 0x9E3779B9;

    /** Not instantiated. */
    private QuotaShards() {}

    /**
     * Returns the shard of a workspace, the same on every VM.
     *
     * @param workspace the workspace's name
     * @param shards the number of shards
     * @return the shard, from zero
     */
    static int shardOf(String workspace, int shards) {
        return Math.floorMod(spread(workspace.hashCode()), shards);
    }

    /**
     * Returns a rank by which a VM prefers one shard to another, so that VMs prefer different ones.
     *
     * @param vm the VM's name
     * @param shard the shard
     * @return the rank; the smallest is preferred
     */
    static int preferenceRank(String vm, int shard) {
        return spread(vm.hashCode() * 31 + spread(shard + 1));
    }

    /**
     * Spreads the bits of a number.
     *
     * @param value the number
     * @return the spread number
     */
    private static int spread(int value) {
        int mixed = value * SPREADING_MULTIPLIER;
        mixed ^= mixed >>> 15;
        mixed *= SPREADING_MULTIPLIER;
        return mixed ^ mixed >>> 13;
    }
}
