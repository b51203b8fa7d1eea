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
 * The model versions that must be reachable, with their memory, their adapters and their share of the demand. A version
 * without weight is wanted only if its model has no other. Immutable and thread safe.
 */
final class DesiredModels {

    /** The wanted versions. */
    private final Map<ModelVersionId, DesiredVersion> units = new TreeMap<>();
    /** The wanted versions by model. */
    private final Map<String, List<DesiredVersion>> unitsByModel = new HashMap<>();

    /**
     * Derives what is wanted.
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
     * A wanted model version.
     *
     * @param id the model version
     * @param memoryBytes the memory of a copy without adapters, in bytes
     * @param adapters its adapters
     * @param demand its share of the model's demand
     */
    record DesiredVersion(ModelVersionId id, long memoryBytes, List<Adapter> adapters, DemandRates.Rate demand) {

        /**
         * Returns the memory of a copy with all adapters.
         *
         * @return the memory in bytes
         */
        long footprintBytes() {
            return memoryBytes
                    + adapters.stream().mapToLong(Adapter::memoryBytes).sum();
        }
    }

    /**
     * Adds the wanted versions of a model.
     *
     * @param model the model
     * @param adapters its adapters
     * @param demand its demand
     */
    private void add(Model model, List<Adapter> adapters, DemandRates.Rate demand) {
        int weights = model.versions().stream().mapToInt(ModelVersion::weight).sum();
        for (ModelVersion version : model.versions()) {
            if (version.weight() > 0 || weights == 0) {
                double share = weights == 0 ? 1.0 / model.versions().size() : (double) version.weight() / weights;
                ModelVersionId unit = new ModelVersionId(model.name(), version.name());
                DesiredVersion wanted = new DesiredVersion(unit, model.memoryBytes(), adapters, demand.scaledBy(share));
                units.put(unit, wanted);
                unitsByModel
                        .computeIfAbsent(model.name(), ignored -> new ArrayList<>())
                        .add(wanted);
            }
        }
    }

    /**
     * Returns the wanted versions.
     *
     * @return the versions in order of their names
     */
    List<DesiredVersion> all() {
        return List.copyOf(units.values());
    }

    /**
     * Returns what is wanted of a version.
     *
     * @param unit the version
     * @return what is wanted, {@code null} if the version is not wanted
     */
    DesiredVersion find(ModelVersionId unit) {
        return units.get(unit);
    }

    /**
     * Returns the wanted versions of a model.
     *
     * @param model the model's name
     * @return the versions
     */
    List<DesiredVersion> ofModel(String model) {
        return unitsByModel.getOrDefault(model, List.of());
    }

    /**
     * Returns the memory of a copy, also of a version that is not wanted any more.
     *
     * @param unit the version
     * @return the memory without adapters in bytes, zero if nothing of the model is wanted
     */
    long memoryBytes(ModelVersionId unit) {
        return ofModel(unit.model()).stream()
                .mapToLong(DesiredVersion::memoryBytes)
                .max()
                .orElse(0);
    }
}
