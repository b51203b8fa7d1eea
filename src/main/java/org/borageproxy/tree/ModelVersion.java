package org.borageproxy.tree;

/**
 * A version of a model. Immutable and thread safe.
 *
 * @param name the name, unique within the model
 * @param weight the weight of the version in the split of the model's requests over its versions
 */
public record ModelVersion(String name, int weight) {}
