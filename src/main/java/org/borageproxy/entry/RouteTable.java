package org.borageproxy.entry;

import java.util.Comparator;
import java.util.Optional;

import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.Route;

/** Finds the route of a path. Pure, stateless and thread safe. */
enum RouteTable {
    /** The only table. */
    INSTANCE;

    /**
     * Returns the route with the longest prefix of a path. A prefix ends at the end of a segment.
     *
     * @param configuration the configuration served now
     * @param path the path
     * @return the route, if one matches
     */
    Optional<Route> find(Configuration configuration, String path) {
        return configuration.routes().stream()
                .filter(route -> matches(route.pathPrefix(), path))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
    }

    /**
     * Tells whether a prefix covers a path.
     *
     * @param prefix the prefix
     * @param path the path
     * @return {@code true} if it does
     */
    private static boolean matches(String prefix, String path) {
        return path.startsWith(prefix)
                && (prefix.endsWith("/") || path.length() == prefix.length() || path.charAt(prefix.length()) == '/');
    }
}
