package org.borageproxy.drain;

import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.vm.AvailabilityZone;

/**
 * Admits servers outside drained zones that stand in an allowed region. A VM whose knowledge of the drains is outdated,
 * as after a freeze, admits none until it has asked the control group again; this applies only where the settings name
 * zones, since only there can zones be drained. Immutable and thread safe; the suppliers must be thread safe.
 */
public final class ZoneRules implements ServerEligibility {

    private final Map<AvailabilityZone, String> regions;
    private final Supplier<Set<AvailabilityZone>> drainedZones;
    private final BooleanSupplier isInformed;

    /**
     * Creates rules.
     *
     * @param regions the region of each zone
     * @param drainedZones supplies the drained zones that this VM knows
     * @param isInformed supplies whether this VM has asked the control group for its state a short time ago, with or
     *     without success
     */
    public ZoneRules(
            Map<AvailabilityZone, String> regions,
            Supplier<Set<AvailabilityZone>> drainedZones,
            BooleanSupplier isInformed) {
        this.regions = Map.copyOf(regions);
        this.drainedZones = drainedZones;
        this.isInformed = isInformed;
    }

    @Override
    public boolean mayReceive(BackendServer server, Set<String> allowedRegions) {
        return !isDrained(server.zone())
                && isAllowed(server.zone(), allowedRegions)
                && (regions.isEmpty() || isInformed.getAsBoolean());
    }

    /**
     * Returns whether a zone is in one of some regions.
     *
     * @param zone the zone
     * @param allowedRegions the regions; empty for any
     * @return {@code false} for a zone of an unknown region if the regions are restricted
     */
    public boolean isAllowed(AvailabilityZone zone, Set<String> allowedRegions) {
        return allowedRegions.isEmpty() || regions.containsKey(zone) && allowedRegions.contains(regions.get(zone));
    }

    /**
     * Returns the region of a zone.
     *
     * @param zone the zone
     * @return the region alone; empty if it is unknown
     */
    public Set<String> regionOf(AvailabilityZone zone) {
        return regions.containsKey(zone) ? Set.of(regions.get(zone)) : Set.of();
    }

    /**
     * Returns whether the servers of a zone are drained.
     *
     * @param zone the zone
     * @return {@code true} if they get neither requests nor loads of models
     */
    public boolean isDrained(AvailabilityZone zone) {
        return drainedZones.get().contains(zone);
    }
}
