package org.borageproxy.entry;

import java.util.Comparator;
import java.util.Optional;

import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Route;

/** Finds the route of a path. Pure, stateless and thread safe. */
enum RouteTable {
    /** The singleton instance. */
    INSTANCE;

    /**
     * Finds the route with the longest prefix of a path. A prefix matches whole segments only.
     *
     * @param configuration the current configuration
     * @param path the path
     * @return the route, if one matches
     */
    Optional<Route> find(Configuration configuration, String path) {
        return configuration.routes().stream()
                .filter(route -> matches(route.pathPrefix(), path))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
    }

    private static boolean matches(String prefix, String path) {
        return path.startsWith(prefix)
                && (prefix.endsWith("/") || path.length() == prefix.length() || path.charAt(prefix.length()) == '/');
    }
}
