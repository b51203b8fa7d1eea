package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.borageproxy.tree.Adapter;
import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Model;
import org.borageproxy.tree.ModelVersion;

/**
 * The model versions that must be reachable, with their memory, adapters and share of the demand. A version without
 * weight is desired only if no version of the model has weight. Immutable and thread safe.
 */
final class DesiredModels {

    private final Map<ModelVersionId, DesiredVersion> versions = new TreeMap<>();
    private final Map<String, List<DesiredVersion>> versionsByModel = new HashMap<>();

    /**
     * Derives the desired versions.
     *
     * @param configuration the configuration
     * @param demand the demand
     */
    DesiredModels(Configuration configuration, DemandRates demand) {
        Map<String, List<Adapter>> adaptersByModel = new HashMap<>();
        configuration.adapters().values().stream()
                .sorted((one, other) -> one.name().compareTo(other.name()))
                .forEach(adapter -> adaptersByModel
                        .computeIfAbsent(adapter.model(), ignored -> new ArrayList<>())
                        .add(adapter));
        for (Model model : configuration.models().values()) {
            add(model, adaptersByModel.getOrDefault(model.name(), List.of()), demand.ofModel(model.name()));
        }
    }

    /**
     * A model version that must be reachable.
     *
     * @param id the model version
     * @param memoryBytes the memory in bytes of a copy without adapters
     * @param adapters the adapters of the model
     * @param demand its share of the demand for the model, by weight
     */
    record DesiredVersion(ModelVersionId id, long memoryBytes, List<Adapter> adapters, DemandRates.Rate demand) {

        /**
         * Returns the memory of a copy with all its adapters.
         *
         * @return the memory in bytes
         */
        long footprintBytes() {
            return memoryBytes
                    + adapters.stream().mapToLong(Adapter::memoryBytes).sum();
        }
    }

    private void add(Model model, List<Adapter> adapters, DemandRates.Rate demand) {
        int totalWeight =
                model.versions().stream().mapToInt(ModelVersion::weight).sum();
        for (ModelVersion version : model.versions()) {
            if (version.weight() > 0 || totalWeight == 0) {
                double demandShare =
                        totalWeight == 0 ? 1.0 / model.versions().size() : (double) version.weight() / totalWeight;
                ModelVersionId id = new ModelVersionId(model.name(), version.name());
                DesiredVersion desired =
                        new DesiredVersion(id, model.memoryBytes(), adapters, demand.scaledBy(demandShare));
                versions.put(id, desired);
                versionsByModel
                        .computeIfAbsent(model.name(), ignored -> new ArrayList<>())
                        .add(desired);
            }
        }
    }

    /**
     * Returns the desired versions.
     *
     * @return the versions, sorted by model and version
     */
    List<DesiredVersion> all() {
        return List.copyOf(versions.values());
    }

    /**
     * Returns a desired version.
     *
     * @param id the model version
     * @return the desired version, {@code null} if the version is not desired
     */
    DesiredVersion find(ModelVersionId id) {
        return versions.get(id);
    }

    /**
     * Returns the desired versions of a model.
     *
     * @param model the name of the model
     * @return the versions, empty if the model is not desired
     */
    List<DesiredVersion> ofModel(String model) {
        return versionsByModel.getOrDefault(model, List.of());
    }

    /**
     * Returns the memory of a copy, also of a version that is no longer desired.
     *
     * @param id the model version
     * @return the memory in bytes without adapters, zero if no version of the model is desired
     */
    long memoryBytes(ModelVersionId id) {
        return ofModel(id.model()).stream()
                .mapToLong(DesiredVersion::memoryBytes)
                .max()
                .orElse(0);
    }
}
