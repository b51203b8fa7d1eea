package org.borageproxy.publication;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A publication with indexes for looking up routes and workspaces. Immutable and thread safe. */
public final class ServedPublication {

    private final Publication publication;
    private final Map<String, List<PublishedRoute>> routesByHost;
    private final Map<String, PublishedWorkspace> workspacesByKey;

    /**
     * Builds the indexes of a publication.
     *
     * @param publication the publication
     */
    public ServedPublication(Publication publication) {
        this.publication = publication;
        this.routesByHost = publication.routesByHost();
        this.workspacesByKey = publication.workspacesByKey();
    }

    /**
     * Returns the publication without the indexes.
     *
     * @return the publication that the indexes were built from
     */
    public Publication publication() {
        return publication;
    }

    /**
     * Finds the route with the longest path prefix that matches a request.
     *
     * @param host the host name in lower case, without a port
     * @param path the path without the query
     * @return the route, or empty if none matches
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
     * Finds the workspace to which an API key belongs.
     *
     * @param key the API key
     * @return the workspace, or empty if the key is unknown
     */
    public Optional<PublishedWorkspace> workspaceOf(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }
}
