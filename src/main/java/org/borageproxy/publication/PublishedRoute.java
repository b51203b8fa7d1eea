package org.borageproxy.publication;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A route from a host and a path prefix to one or more services. Immutable and thread safe.
 *
 * @param name the name used in logs and error messages
 * @param host the host name in lower case, without a port
 * @param pathPrefix the path prefix, which starts and ends with a slash
 * @param repeatability whether a request may run more than once and whether its response is a stream
 * @param timeout the maximum time until the response is complete, positive
 * @param latencyObjective the target time until the response, or the first event of a stream; zero if none is set
 * @param gapObjective the target for the longest pause between two events of a stream; zero if none is set
 * @param priority the priority rank; zero is the highest
 * @param services the services among which requests are split, by weight
 * @param maxAttempts the maximum number of backend servers to which one request is sent
 * @param isPublic whether callers need no API key
 * @param allowedRegions the regions in which requests may run; empty for any
 */
public record PublishedRoute(
        String name,
        String host,
        String pathPrefix,
        Repeatability repeatability,
        Duration timeout,
        Duration latencyObjective,
        Duration gapObjective,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean isPublic,
        Set<String> allowedRegions) {

    /** Copies the collections. */
    public PublishedRoute {
        services = List.copyOf(services);
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Creates a route whose requests may run in any region.
     *
     * @param name the name used in logs and error messages
     * @param host the host name in lower case, without a port
     * @param pathPrefix the path prefix, which starts and ends with a slash
     * @param repeatability whether a request may run more than once and whether its response is a stream
     * @param timeout the maximum time until the response is complete, positive
     * @param latencyObjective the target time until the response, or the first event of a stream; zero for none
     * @param gapObjective the target for the longest pause between two events of a stream; zero for none
     * @param priority the priority rank; zero is the highest
     * @param services the services among which requests are split, by weight
     * @param maxAttempts the maximum number of backend servers to which one request is sent
     * @param isPublic whether callers need no API key
     */
    public PublishedRoute(
            String name,
            String host,
            String pathPrefix,
            Repeatability repeatability,
            Duration timeout,
            Duration latencyObjective,
            Duration gapObjective,
            int priority,
            List<WeightedService> services,
            int maxAttempts,
            boolean isPublic) {
        this(
                name,
                host,
                pathPrefix,
                repeatability,
                timeout,
                latencyObjective,
                gapObjective,
                priority,
                services,
                maxAttempts,
                isPublic,
                Set.of());
    }

    /**
     * A service with its share of a route's requests.
     *
     * @param service the service's name
     * @param weight the share relative to the other weights of the route, not negative
     */
    public record WeightedService(String service, int weight) {}

    /**
     * Returns the sum of all weights.
     *
     * @return zero if no service receives requests
     */
    public int totalWeight() {
        return services.stream().mapToInt(WeightedService::weight).sum();
    }

    /**
     * Selects a service by weight.
     *
     * @param draw a number from zero, inclusive, to {@link #totalWeight()}, exclusive
     * @return the service's name
     * @throws IllegalArgumentException if the number is not below the total weight
     */
    public String serviceAt(int draw) {
        int remaining = draw;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        throw new IllegalArgumentException("Draw must be below the total weight: " + draw);
    }

    /**
     * Returns whether requests may run in a service.
     *
     * @param service the service's name
     * @return {@code false} if the route does not name the service or gives it no weight
     */
    public boolean leadsTo(String service) {
        return services.stream()
                .anyMatch(candidate ->
                        candidate.weight() > 0 && candidate.service().equals(service));
    }
}
