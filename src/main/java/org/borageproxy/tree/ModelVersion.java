package org.borageproxy.tree;

/**
 * A version of a model. Immutable and thread safe.
 *
 * @param name the version's name, unique for its model
 * @param weight the share of the model's requests that the version gets, relative to the other versions
 */
public record ModelVersion(String name, int weight) {}
