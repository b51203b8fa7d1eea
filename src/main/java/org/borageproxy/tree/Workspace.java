package org.borageproxy.tree;

import java.util.Set;

/**
 * A workspace with its effective settings. Immutable and thread safe.
 *
 * @param name the name, unique among workspaces
 * @param rateTokensPerSecond the tokens per second that the workspace may consume, summed over all VMs
 * @param burstTokens the capacity of the token bucket, summed over all VMs
 * @param priority the priority of its requests; larger numbers are served first
 * @param usableModels the names of the models and adapters that it may use; empty if it may use all
 */
public record Workspace(
        String name, long rateTokensPerSecond, long burstTokens, int priority, Set<String> usableModels) {

    /** Creates a workspace from an unmodifiable copy of the set of models. */
    public Workspace {
        usableModels = Set.copyOf(usableModels);
    }

    /**
     * Returns whether the workspace may use a model or adapter.
     *
     * @param model the name of the model or adapter, not necessarily a declared one
     * @return {@code true} if it may
     */
    public boolean mayUse(String model) {
        return usableModels.isEmpty() || usableModels.contains(model);
    }
}
