package org.borageproxy.drain;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RegionsTest {

    /** Guards against a route and a workspace without a common region whose requests may then run anywhere. */
    @Test
    void bothRestrictionsApply() {
        assertEquals(Set.of(), Regions.intersect(Set.of(), Set.of()));
        assertEquals(Set.of("a"), Regions.intersect(Set.of("a"), Set.of()));
        assertEquals(Set.of("a"), Regions.intersect(Set.of(), Set.of("a")));
        assertEquals(Set.of("b"), Regions.intersect(Set.of("a", "b"), Set.of("b", "c")));
        assertEquals(Regions.NONE, Regions.intersect(Set.of("a"), Set.of("b")));
    }
}
