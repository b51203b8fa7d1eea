package org.borageproxy.tree;

import java.util.List;

/**
 * A model with its effective settings. Immutable and thread safe.
 *
 * @param name the name, unique among models and adapters
 * @param memoryBytes the accelerator memory that one copy occupies, in bytes
 * @param maximumOutputTokens the maximum number of output tokens of a request
 * @param timeoutMillis the time limit of a request, in milliseconds
 * @param versions the versions with their weights, not empty
 */
public record Model(
        String name, long memoryBytes, int maximumOutputTokens, long timeoutMillis, List<ModelVersion> versions) {

    /** Creates a model from an unmodifiable copy of the versions, which must not be empty. */
    public Model {
        versions = List.copyOf(versions);
        if (versions.isEmpty()) {
            throw new IllegalArgumentException("Model without a version: " + name);
        }
    }
}
