package org.borageproxy.placement;

/**
 * Identifies a version of a model, the unit of loading and unloading. Immutable and thread safe.
 *
 * @param model the name of the model
 * @param version the version of the model
 */
public record ModelVersionId(String model, String version) implements Comparable<ModelVersionId> {

    @Override
    public int compareTo(ModelVersionId other) {
        int byModel = model.compareTo(other.model);
        return byModel != 0 ? byModel : version.compareTo(other.version);
    }
}
