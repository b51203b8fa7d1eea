package org.borageproxy.tree;

import java.util.List;
import java.util.Map;

/**
 * The effective configuration at one revision: the settings tree with inheritance resolved, and the API keys. Immutable
 * and thread safe. The revision increases with every accepted change of the tree or of a key.
 *
 * @param revision the revision, zero before the first change
 * @param workspaces the workspaces by name
 * @param models the models by name
 * @param adapters the adapters by name
 * @param routes the routes to HTTP services that are no model engines
 * @param keysByDigest the API keys by digest, withdrawn keys included
 */
public record Configuration(
        long revision,
        Map<String, Workspace> workspaces,
        Map<String, Model> models,
        Map<String, Adapter> adapters,
        List<Route> routes,
        Map<String, KeyRecord> keysByDigest) {

    /** The configuration before the first change. */
    public static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of(), Map.of(), List.of(), Map.of());

    /** Creates a configuration from unmodifiable copies of the collections. */
    public Configuration {
        workspaces = Map.copyOf(workspaces);
        models = Map.copyOf(models);
        adapters = Map.copyOf(adapters);
        routes = List.copyOf(routes);
        keysByDigest = Map.copyOf(keysByDigest);
    }
}
