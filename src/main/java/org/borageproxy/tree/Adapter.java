package org.borageproxy.tree;

/**
 * An adapter of a model with its effective settings. Immutable and thread safe.
 *
 * @param name the name, unique among models and adapters
 * @param model the name of the base model
 * @param memoryBytes the accelerator memory it occupies, in bytes
 */
public record Adapter(String name, String model, long memoryBytes) {}
