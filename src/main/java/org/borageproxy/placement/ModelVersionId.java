package org.borageproxy.placement;

/**
 * A version of a model, the smallest thing that is loaded on its own. Immutable and thread safe.
 *
 * @param model the model's name
 * @param version the model's version
 */
public record ModelVersionId(String model, String version) implements Comparable<ModelVersionId> {

    @Override
    public int compareTo(ModelVersionId other) {
        int byModel = model.compareTo(other.model);
        return byModel != 0 ? byModel : version.compareTo(other.version);
    }
}
