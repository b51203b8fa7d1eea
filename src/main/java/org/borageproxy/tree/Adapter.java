package org.borageproxy.tree;

/**
 * An adapter of a model. Immutable and thread safe.
 *
 * @param name the adapter's name, unique among models and adapters
 * @param model the name of the base model
 * @param memoryBytes the memory it takes on an accelerator, in bytes
 */
public record Adapter(String name, String model, long memoryBytes) {}
