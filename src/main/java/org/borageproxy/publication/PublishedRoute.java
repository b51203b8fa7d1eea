package org.borageproxy.publication;

import java.time.Duration;
import java.util.List;

/**
 * A route from a host and a prefix of paths to services. Immutable and thread safe.
 *
 * @param name the name
 * @param host the host, in lower case
 * @param pathPrefix the prefix, which begins and ends with a slash
 * @param repeatability how often a request may run
 * @param timeout the longest time that a caller is kept waiting, positive
 * @param latencyObjective the time within which an answer, or the first event of one, is worth most
 * @param gapObjective the longest pause between events that still counts as on time; zero where none is set
 * @param priority the rank, zero for the highest
 * @param services the services by weight
 * @param maxAttempts the most backend servers that may get one request
 * @param isPublic whether callers need no key
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
        boolean isPublic) {

    /** Copies the services. */
    public PublishedRoute {
        services = List.copyOf(services);
    }

    /**
     * A service of a route.
     *
     * @param service the name of the service
     * @param weight its part of the requests, not negative
     */
    public record WeightedService(String service, int weight) {}

    /**
     * Returns the sum of all weights.
     *
     * @return zero if no service gets requests
     */
    public int totalWeight() {
        return services.stream().mapToInt(WeightedService::weight).sum();
    }

    /**
     * Chooses a service.
     *
     * @param draw a number from zero to the sum of the weights, exclusive
     * @return the service's name
     */
    public String serviceAt(int draw) {
        int rest = draw;
        for (WeightedService candidate : services) {
            rest -= candidate.weight();
            if (rest < 0) {
                return candidate.service();
            }
        }
        throw new IllegalArgumentException("Beyond the sum of the weights: " + draw);
    }
}
