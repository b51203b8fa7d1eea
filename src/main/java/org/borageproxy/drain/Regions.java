package org.borageproxy.drain;

import java.util.Set;
import java.util.stream.Collectors;

/** Sets of regions in which a request may run; an empty set allows any. Stateless and thread safe. */
public final class Regions {

    /** Allows no region, since no region has an empty name. */
    public static final Set<String> NONE = Set.of("");

    private Regions() {}

    /**
     * Returns the regions that two restrictions allow.
     *
     * @param one a restriction; empty for any region
     * @param other another one
     * @return the regions that both allow; empty if neither restricts them, {@link #NONE} if they have none in common
     */
    public static Set<String> intersect(Set<String> one, Set<String> other) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isEmpty() ? other : one;
        }
        Set<String> common = one.stream().filter(other::contains).collect(Collectors.toUnmodifiableSet());
        return common.isEmpty() ? NONE : common;
    }
}
