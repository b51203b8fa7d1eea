package org.borageproxy.routing;

import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.borageproxy.tree.Model;
import org.borageproxy.tree.ModelVersion;

/** Selects a model version at random by the versions' weights. Stateless and thread safe. */
public enum VersionSelector {
    /** The only instance. */
    INSTANCE;

    /**
     * Draws a version among those of positive weight that a replica serves; among all of positive weight if no replica
     * serves one, and among all versions if none has a positive weight.
     *
     * @param model the model
     * @param isServed tests by name whether a replica serves a version
     * @param random the source of random draws
     * @return the version's name
     */
    public String select(Model model, Predicate<String> isServed, RandomGenerator random) {
        List<ModelVersion> weighted = model.versions().stream()
                .filter(version -> version.weight() > 0)
                .toList();
        List<ModelVersion> servedVersions = weighted.stream()
                .filter(version -> isServed.test(version.name()))
                .toList();
        List<ModelVersion> drawnFrom =
                servedVersions.isEmpty() ? (weighted.isEmpty() ? model.versions() : weighted) : servedVersions;
        long totalWeight = drawnFrom.stream()
                .mapToLong(version -> Math.max(1, version.weight()))
                .sum();
        long point = random.nextLong(totalWeight);
        for (ModelVersion version : drawnFrom) {
            point -= Math.max(1, version.weight());
            if (point < 0) {
                return version.name();
            }
        }
        return drawnFrom.get(drawnFrom.size() - 1).name();
    }
}
