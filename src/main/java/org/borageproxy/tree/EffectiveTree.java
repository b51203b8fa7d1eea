package org.borageproxy.tree;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A settings tree with inheritance resolved. Immutable and thread safe.
 *
 * @param workspaces the workspaces
 * @param models the models
 * @param adapters the adapters
 * @param routes the routes
 * @param values each effective value with its origin, the declarations of a branch before those of its nested branches
 */
public record EffectiveTree(
        List<Workspace> workspaces,
        List<Model> models,
        List<Adapter> adapters,
        List<Route> routes,
        List<EffectiveValue> values) {

    /** The tree without declarations. */
    public static final EffectiveTree EMPTY = new EffectiveTree(List.of(), List.of(), List.of(), List.of(), List.of());

    /** Creates a tree from unmodifiable copies of the collections. */
    public EffectiveTree {
        workspaces = List.copyOf(workspaces);
        models = List.copyOf(models);
        adapters = List.copyOf(adapters);
        routes = List.copyOf(routes);
        values = List.copyOf(values);
    }

    /**
     * Combines the tree with the API keys into a configuration.
     *
     * @param revision the revision of the configuration
     * @param keysByDigest the API keys by digest
     * @return the configuration
     */
    public Configuration toConfiguration(long revision, Map<String, KeyRecord> keysByDigest) {
        return new Configuration(
                revision,
                byName(workspaces, Workspace::name),
                byName(models, Model::name),
                byName(adapters, Adapter::name),
                routes,
                keysByDigest);
    }

    /**
     * Indexes elements by name.
     *
     * @param elements the elements, with distinct names
     * @param name returns the name of an element
     * @param <T> the type of the elements
     * @return the elements by name
     */
    private static <T> Map<String, T> byName(List<T> elements, Function<T, String> name) {
        return elements.stream().collect(Collectors.toUnmodifiableMap(name, Function.identity()));
    }
}
