package org.borageproxy.quota;

/** Maps workspaces to shards by hash. Stateless and thread safe. */
final class QuotaShards {

    /** Multiplier of Fibonacci hashing: 2<sup>32</sup> divided by the golden ratio. */
    private static final int MIXING_MULTIPLIER = 0x9E3779B9;

    private QuotaShards() {}

    /**
     * Returns the shard of a workspace, the same on every VM.
     *
     * @param workspace the workspace's name
     * @param shardCount the number of shards
     * @return the shard, from zero to the number of shards, exclusive
     */
    static int shardOf(String workspace, int shardCount) {
        return Math.floorMod(mixBits(workspace.hashCode()), shardCount);
    }

    /**
     * Returns the rank of a shard for a VM. VMs rank shards differently, so that they do not compete for the same one.
     *
     * @param vm the VM's name
     * @param shard the shard
     * @return the rank; the lowest is preferred
     */
    static int preferenceRank(String vm, int shard) {
        return mixBits(vm.hashCode() * 31 + mixBits(shard + 1));
    }

    private static int mixBits(int value) {
        int mixed = value * MIXING_MULTIPLIER;
        mixed ^= mixed >>> 15;
        mixed *= MIXING_MULTIPLIER;
        return mixed ^ mixed >>> 13;
    }
}
