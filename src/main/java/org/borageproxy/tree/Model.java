package org.borageproxy.tree;

import java.util.List;

/**
 * A model with its effective settings. Immutable and thread safe.
 *
 * @param name the model's name, unique among models and adapters
 * @param memoryBytes the memory one copy takes on an accelerator, in bytes
 * @param maximumOutputTokens the largest number of tokens of an answer
 * @param timeoutMillis the time allowed to a request, in milliseconds
 * @param versions the versions; never empty
 */
public record Model(
        String name, long memoryBytes, int maximumOutputTokens, long timeoutMillis, List<ModelVersion> versions) {

    /** Copies the versions and refuses an empty list. */
    public Model {
        versions = List.copyOf(versions);
        if (versions.isEmpty()) {
            throw new IllegalArgumentException("A model needs a version: " + name);
        }
    }
}
