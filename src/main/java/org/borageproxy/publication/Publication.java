package org.borageproxy.publication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A whole configuration as operators publish it. The one with the highest number is in force. Immutable and thread
 * safe.
 *
 * @param number the number, rising with each publication
 * @param routes the routes
 * @param services the services by name
 * @param workspaces the workspaces by name
 * @param limits the bounds of what callers may send
 */
public record Publication(
        long number,
        List<PublishedRoute> routes,
        Map<String, PublishedService> services,
        Map<String, PublishedWorkspace> workspaces,
        RequestLimits limits) {

    /** Copies the collections. */
    public Publication {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        workspaces = Map.copyOf(workspaces);
    }

    /**
     * Checks the publication as a whole.
     *
     * @return what is wrong, each with the place; empty if it may come into force
     */
    public List<String> errors() {
        List<String> errors = new ArrayList<>();
        Set<String> places = new HashSet<>();
        for (PublishedRoute route : routes) {
            if (!places.add(route.host() + route.pathPrefix())) {
                errors.add("route " + route.name() + ": another route has the same host and prefix");
            }
            if (route.totalWeight() <= 0) {
                errors.add("route " + route.name() + ": the weights add up to zero");
            }
            if (route.timeout().isZero() || route.timeout().isNegative()) {
                errors.add("route " + route.name() + ": the timeout must be positive");
            }
            route.services().stream()
                    .filter(candidate -> !services.containsKey(candidate.service()))
                    .forEach(candidate -> errors.add("route " + route.name() + ": unknown service"));
        }
        Map<String, String> owners = new HashMap<>();
        workspaces.values().forEach(workspace -> workspace.keys().forEach(key -> {
            String other = owners.put(key, workspace.name());
            if (other != null) {
                errors.add("workspace " + workspace.name() + ": shares a key with workspace " + other);
            }
        }));
        return List.copyOf(errors);
    }

    /**
     * Returns the workspaces by their keys.
     *
     * @return each key's workspace
     */
    public Map<String, PublishedWorkspace> workspacesByKey() {
        Map<String, PublishedWorkspace> byKey = new HashMap<>();
        workspaces.values().forEach(workspace -> workspace.keys().forEach(key -> byKey.put(key, workspace)));
        return Map.copyOf(byKey);
    }

    /**
     * Returns the model engines of a service.
     *
     * @param service the service's name
     * @return empty for a plain or an unknown service
     */
    public Optional<EnginePool> enginePool(String service) {
        return Optional.ofNullable(services.get(service)).flatMap(PublishedService::enginePool);
    }

    /**
     * Sorts the routes so that a request's route is found by host and longest prefix.
     *
     * @return the routes of each host, those with the longest prefix first
     */
    public Map<String, List<PublishedRoute>> routesByHost() {
        Map<String, List<PublishedRoute>> byHost = new LinkedHashMap<>();
        routes.stream()
                .sorted((one, other) -> Integer.compare(
                        other.pathPrefix().length(), one.pathPrefix().length()))
                .forEach(route -> byHost.computeIfAbsent(route.host(), host -> new ArrayList<>())
                        .add(route));
        return byHost;
    }
}
