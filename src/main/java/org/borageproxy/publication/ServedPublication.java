package org.borageproxy.publication;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A publication with its tables for finding routes and workspaces. Immutable and thread safe. */
public final class ServedPublication {

    private final Publication publication;
    private final Map<String, List<PublishedRoute>> routesByHost;
    private final Map<String, PublishedWorkspace> workspacesByKey;

    /**
     * Builds the tables of a publication.
     *
     * @param publication the publication
     */
    public ServedPublication(Publication publication) {
        this.publication = publication;
        this.routesByHost = publication.routesByHost();
        this.workspacesByKey = publication.workspacesByKey();
    }

    /**
     * Returns the publication.
     *
     * @return the publication
     */
    public Publication publication() {
        return publication;
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host in lower case, without a port
     * @param path the path without the query
     * @return the route with the longest prefix that the path begins with
     */
    public Optional<PublishedRoute> route(String host, String path) {
        for (PublishedRoute route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the workspace that holds a key.
     *
     * @param key the key
     * @return the workspace, empty for an unknown key
     */
    public Optional<PublishedWorkspace> workspaceOf(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }
}
