package org.borageproxy.publication;

import java.util.Set;

/**
 * A workspace with its API keys and its token rate limit. Immutable and thread safe.
 *
 * @param name the workspace's name, unique within the publication
 * @param keys the API keys of its callers
 * @param priority the priority rank, zero for the highest; if negative, the priority of the route applies
 * @param rate the token rate limit in tokens per second; unlimited if both the rate and the burst are zero
 * @param burst the token bucket's capacity: the tokens that can be spent at once
 * @param defaultRequestTokens the tokens charged for a request that states no size
 * @param allowedRegions the regions in which its requests may run; empty for any
 */
public record PublishedWorkspace(
        String name,
        Set<String> keys,
        int priority,
        long rate,
        long burst,
        long defaultRequestTokens,
        Set<String> allowedRegions) {

    /** Copies the sets. */
    public PublishedWorkspace {
        keys = Set.copyOf(keys);
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Creates a workspace whose requests may run in any region.
     *
     * @param name the workspace's name, unique within the publication
     * @param keys the API keys of its callers
     * @param priority the priority rank, zero for the highest; if negative, the priority of the route applies
     * @param rate the token rate limit in tokens per second; unlimited if both the rate and the burst are zero
     * @param burst the token bucket's capacity: the tokens that can be spent at once
     * @param defaultRequestTokens the tokens charged for a request that states no size
     */
    public PublishedWorkspace(
            String name, Set<String> keys, int priority, long rate, long burst, long defaultRequestTokens) {
        this(name, keys, priority, rate, burst, defaultRequestTokens, Set.of());
    }

    /**
     * Returns whether a token rate limit applies.
     *
     * @return {@code false} if both the rate and the burst are zero
     */
    public boolean isLimited() {
        return rate > 0 || burst > 0;
    }

    /** Omits the API keys, so that they do not appear in logs. */
    @Override
    public String toString() {
        return "PublishedWorkspace[" + name + "]";
    }
}
