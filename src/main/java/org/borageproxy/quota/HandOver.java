package org.borageproxy.quota;

import java.util.Map;

/**
 * The levels of a shard's buckets when its owner stopped, with no credit outstanding. It holds only for the owner of
 * the next epoch. Immutable and thread safe.
 *
 * @param shard the shard
 * @param epoch the epoch that ended
 * @param levels the levels by workspace
 */
record HandOver(int shard, long epoch, Map<String, Long> levels) {

    /** Copies the levels. */
    HandOver {
        levels = Map.copyOf(levels);
    }
}
