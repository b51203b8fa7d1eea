package org.borageproxy.quota;

import java.util.Map;

/**
 * The bucket levels of a shard at the time when its owner stopped, without any outstanding credit. Valid only for the
 * owner of the directly following epoch. Immutable and thread safe.
 *
 * @param shard the shard
 * @param epoch the epoch that ended
 * @param levels the tokens in the buckets by workspace
 */
record HandOver(int shard, long epoch, Map<String, Long> levels) {

    /** Copies the levels. */
    HandOver {
        levels = Map.copyOf(levels);
    }
}
