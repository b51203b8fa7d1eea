package org.borageproxy.tree;

import java.util.Set;

/**
 * A workspace with its effective settings. Immutable and thread safe.
 *
 * @param name the workspace's name, unique in the tree
 * @param rateTokensPerSecond tokens that the workspace may spend each second over all VMs
 * @param burstTokens tokens that the workspace may spend at once over all VMs
 * @param priority the priority of its requests; larger numbers go first
 * @param models the names of the models and adapters it may use; empty for all
 */
public record Workspace(String name, long rateTokensPerSecond, long burstTokens, int priority, Set<String> models) {

    /** Copies the set of models. */
    public Workspace {
        models = Set.copyOf(models);
    }

    /**
     * Tells whether the workspace may use a model or adapter.
     *
     * @param model the model's or adapter's name
     * @return {@code true} if it may
     */
    public boolean mayUse(String model) {
        return models.isEmpty() || models.contains(model);
    }
}
