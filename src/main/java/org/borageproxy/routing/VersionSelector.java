package org.borageproxy.routing;

import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.borageproxy.tree.Model;
import org.borageproxy.tree.ModelVersion;

/** Draws a model version by the versions' weights. Pure, stateless and thread safe. */
public enum VersionSelector {
    /** The only selector. */
    INSTANCE;

    /**
     * Draws a version among those that a replica serves, or among all if none is served.
     *
     * @param model the model
     * @param served tells whether a replica serves a version
     * @param random the source of random draws
     * @return the version's name
     */
    public String select(Model model, Predicate<String> served, RandomGenerator random) {
        List<ModelVersion> weighted = model.versions().stream()
                .filter(version -> version.weight() > 0)
                .toList();
        List<ModelVersion> usable =
                weighted.stream().filter(version -> served.test(version.name())).toList();
        List<ModelVersion> drawn = usable.isEmpty() ? (weighted.isEmpty() ? model.versions() : weighted) : usable;
        long total = drawn.stream()
                .mapToLong(version -> Math.max(1, version.weight()))
                .sum();
        long point = random.nextLong(total);
        for (ModelVersion version : drawn) {
            point -= Math.max(1, version.weight());
            if (point < 0) {
                return version.name();
            }
        }
        return drawn.get(drawn.size() - 1).name();
    }
}
