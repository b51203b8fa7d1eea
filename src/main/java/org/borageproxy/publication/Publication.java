package org.borageproxy.publication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.warmup.WarmUpRules;

/**
 * A complete configuration as published by an operator. The publication with the highest number is in force. Immutable
 * and thread safe.
 *
 * @param number the publication number, which increases with each publication
 * @param routes the routes, in no particular order
 * @param services the services by name
 * @param workspaces the workspaces by name
 * @param limits the size and time limits on callers' requests
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
     * Validates rules that span several elements: unique host and prefix of each route, positive total weight and
     * timeout, known services, and no API key in two workspaces.
     *
     * @return one message for each violation, with the element's name; empty if the publication is valid
     */
    public List<String> errors() {
        List<String> errors = new ArrayList<>();
        Set<String> hostsAndPrefixes = new HashSet<>();
        for (PublishedRoute route : routes) {
            if (!hostsAndPrefixes.add(route.host() + route.pathPrefix())) {
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
            String otherOwner = owners.put(key, workspace.name());
            if (otherOwner != null) {
                errors.add("workspace " + workspace.name() + ": shares a key with workspace " + otherOwner);
            }
        }));
        return List.copyOf(errors);
    }

    /**
     * Builds an index of the workspaces by API key.
     *
     * @return the workspace of each key
     */
    public Map<String, PublishedWorkspace> workspacesByKey() {
        Map<String, PublishedWorkspace> byKey = new HashMap<>();
        workspaces.values().forEach(workspace -> workspace.keys().forEach(key -> byKey.put(key, workspace)));
        return Map.copyOf(byKey);
    }

    /**
     * Finds the engine settings of a service.
     *
     * @param service the service's name
     * @return empty if the service is unknown or has no model engines
     */
    public Optional<EnginePool> enginePool(String service) {
        return Optional.ofNullable(services.get(service)).flatMap(PublishedService::enginePool);
    }

    /**
     * Finds the path of a request that the servers of a service answer with their names.
     *
     * @param service the service's name
     * @return empty if the service is unknown or has no such path
     */
    public Optional<String> identityPath(String service) {
        return Optional.ofNullable(services.get(service)).flatMap(PublishedService::identityPath);
    }

    /**
     * Finds how the servers of a service warm up.
     *
     * @param service the service's name
     * @return the rules; none for an unknown service
     */
    public WarmUpRules warmUp(String service) {
        return Optional.ofNullable(services.get(service))
                .map(PublishedService::warmUp)
                .orElse(WarmUpRules.NONE);
    }

    /**
     * Groups the routes by host for longest-prefix matching.
     *
     * @return the routes of each host, longest path prefix first
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
