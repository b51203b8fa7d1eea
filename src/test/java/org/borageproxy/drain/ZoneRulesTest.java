package org.borageproxy.drain;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerFixture;
import org.borageproxy.vm.AvailabilityZone;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which servers may receive requests by drains and regions. */
class ZoneRulesTest {

    private static final AvailabilityZone ZONE = BackendServerFixture.ZONE;
    private static final BackendServer SERVER = BackendServerFixture.service("s1", 1);
    private static final BackendServer ELSEWHERE = BackendServerFixture.inZone(SERVER, "far");

    private final Set<AvailabilityZone> drained = new HashSet<>();
    private boolean isInformed = true;

    private ZoneRules rules(Map<AvailabilityZone, String> regions) {
        return new ZoneRules(regions, () -> drained, () -> isInformed);
    }

    /** Guards against a drain that a VM ignores since its own settings name no zones. */
    @Test
    void drainedZoneGetsNothingWhateverTheSettingsName() {
        drained.add(ZONE);
        assertFalse(rules(Map.of()).mayReceive(SERVER, Set.of()));
        assertFalse(rules(Map.of(ZONE, "r")).mayReceive(SERVER, Set.of()));
        assertTrue(rules(Map.of(ZONE, "r")).mayReceive(ELSEWHERE, Set.of()));
        drained.clear();
        assertTrue(rules(Map.of(ZONE, "r")).mayReceive(SERVER, Set.of()));
    }

    /** Guards against requests that leave their regions, also to zones of which no region is known. */
    @Test
    void restrictedRequestStaysInItsRegions() {
        ZoneRules rules = rules(Map.of(ZONE, "near-region"));
        assertTrue(rules.mayReceive(SERVER, Set.of("near-region", "other")));
        assertFalse(rules.mayReceive(SERVER, Set.of("other")));
        assertFalse(rules.mayReceive(ELSEWHERE, Set.of("near-region")));
        assertTrue(rules.mayReceive(ELSEWHERE, Set.of()));
        assertFalse(rules(Map.of()).mayReceive(SERVER, Set.of("near-region")));
    }

    /** Guards against sends of a VM that was frozen while a zone was drained; without zones nothing changes. */
    @Test
    void uninformedVmSendsNothingWhereZonesCanBeDrained() {
        isInformed = false;
        assertFalse(rules(Map.of(ZONE, "r")).mayReceive(SERVER, Set.of()));
        assertTrue(rules(Map.of()).mayReceive(SERVER, Set.of()));
    }
}
