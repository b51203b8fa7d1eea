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
 */
public record PublishedWorkspace(
        String name, Set<String> keys, int priority, long rate, long burst, long defaultRequestTokens) {

    /** Copies the set of keys. */
    public PublishedWorkspace {
        keys = Set.copyOf(keys);
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
