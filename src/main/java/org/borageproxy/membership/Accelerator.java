package org.borageproxy.membership;

/**
 * Accelerator of a backend server. Immutable and thread safe.
 *
 * @param name the name, unique on its backend server
 * @param memoryBytes the memory for models and adapters, in bytes
 */
public record Accelerator(String name, long memoryBytes) {}
