package org.borageproxy.placement;

import java.time.Duration;

/**
 * The settings of the placement owner. Immutable and thread safe.
 *
 * @param modelLoadsPerSecond models that the weight store serves each second
 * @param parallelModelLoads models that the weight store serves at once at full speed
 * @param parallelAdapterLoads adapters that load at once at full speed
 * @param leaseDuration the longest time for which a VM may hold the duty after its last renewal
 * @param maxOrderDelay the longest time after which an engine may still execute an order it was sent
 * @param maxStateAge the age up to which the state read from an engine counts
 */
public record PlacementSettings(
        double modelLoadsPerSecond,
        int parallelModelLoads,
        int parallelAdapterLoads,
        Duration leaseDuration,
        Duration maxOrderDelay,
        Duration maxStateAge) {

    /** Settings for a weight store that serves 2 models each second, 16 at once, and 128 adapters at once. */
    public static final PlacementSettings DEFAULT =
            new PlacementSettings(2.0, 16, 128, Duration.ofSeconds(10), Duration.ofSeconds(30), Duration.ofSeconds(3));
}
