package org.borageproxy.publication;

import java.util.Set;

/**
 * A workspace with its keys and its rate. Immutable and thread safe.
 *
 * @param name the name
 * @param keys the keys of its callers
 * @param priority the rank, zero for the highest; negative where the route's holds
 * @param rate the rate in tokens per second; zero for no limit
 * @param burst the tokens that may be spent beyond the rate
 * @param defaultRequestTokens the tokens of a request that states no size
 */
public record PublishedWorkspace(
        String name, Set<String> keys, int priority, long rate, long burst, long defaultRequestTokens) {

    /** Copies the keys. */
    public PublishedWorkspace {
        keys = Set.copyOf(keys);
    }

    /**
     * Tells whether the workspace has a rate.
     *
     * @return {@code false} if its callers may spend without a limit
     */
    public boolean isLimited() {
        return rate > 0 || burst > 0;
    }

    /** Leaves the keys out. */
    @Override
    public String toString() {
        return "PublishedWorkspace[" + name + "]";
    }
}
