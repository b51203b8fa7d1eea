package org.borageproxy.placement;

import java.time.Duration;

/**
 * The settings of the placement owner. Immutable and thread safe.
 *
 * @param modelLoadsPerSecond the rate at which the weight store serves models
 * @param parallelModelLoads the number of models that load in parallel at full speed
 * @param parallelAdapterLoads the number of adapters that load in parallel at full speed
 * @param leaseDuration the longest time for which a VM may hold the duty after its last renewal
 * @param maxOrderDelay the longest time after which an engine may still execute an order sent to it
 * @param maxStateAge the maximum age of the state of an engine that may get orders
 */
public record PlacementSettings(
        double modelLoadsPerSecond,
        int parallelModelLoads,
        int parallelAdapterLoads,
        Duration leaseDuration,
        Duration maxOrderDelay,
        Duration maxStateAge) {

    /** Settings for a weight store that serves 2 models per second, 16 in parallel, and 128 adapters in parallel. */
    public static final PlacementSettings DEFAULT =
            new PlacementSettings(2.0, 16, 128, Duration.ofSeconds(10), Duration.ofSeconds(30), Duration.ofSeconds(3));
}
