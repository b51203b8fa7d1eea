package org.borageproxy.membership;

import java.util.Set;

/**
 * Models whose weights a backend server can load without the weight store. Immutable and thread safe.
 *
 * @param inMemory the models whose weights are cached in host memory
 * @param onDisk the models whose weights are stored on disk
 */
public record LocalWeights(Set<String> inMemory, Set<String> onDisk) {

    /** No local weights, or none announced. */
    public static final LocalWeights NONE = new LocalWeights(Set.of(), Set.of());

    /** Copies the sets defensively. */
    public LocalWeights {
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
    }
}
