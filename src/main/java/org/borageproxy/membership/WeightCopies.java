package org.borageproxy.membership;

import java.util.Set;

/**
 * The models whose weights a backend server can load without the weight store. Immutable and thread safe.
 *
 * @param inMemory the models kept in main memory
 * @param onDisk the models kept on disk
 */
public record WeightCopies(Set<String> inMemory, Set<String> onDisk) {

    /** No copies, or none known. */
    public static final WeightCopies NONE = new WeightCopies(Set.of(), Set.of());

    /** Copies the sets. */
    public WeightCopies {
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
    }
}
