package org.borageproxy.scheduling;

import java.util.Optional;

import org.borageproxy.time.Deadline;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ReturnPlacesTest {

    private static final long MILLI = 1_000_000L;
    private static final Deadline DUE = new Deadline(1_000 * MILLI);

    private final ReturnPlaces places = new ReturnPlaces();

    private static ReturnPlaces.Returning request(String identity) {
        return new ReturnPlaces.Returning(7, identity, "s", "m", 5);
    }

    /** Load pattern: a wave of retries. Guards against requests that are refused again beside new ones. */
    @Test
    void requestThatComesBackWhenToldKeepsItsPlaceUntilItBegins() {
        places.keep(request("a"), DUE, 0);
        assertTrue(places.isReturning(request("a"), 1_000 * MILLI));
        assertTrue(places.isReturning(request("a"), 1_400 * MILLI));
        places.release(request("a"));
        assertFalse(places.isReturning(request("a"), 1_500 * MILLI));
        assertFalse(places.isReturning(request("b"), 1_500 * MILLI), "the place is used up");
    }

    /** Load pattern: callers that retry immediately. Guards against a gain from doing so. */
    @Test
    void requestThatComesBackEarlyGainsNothing() {
        places.keep(request("a"), DUE, 0);
        assertFalse(places.isReturning(request("a"), 100 * MILLI));
        assertEquals(Optional.of(DUE), places.dueAt(request("a"), 100 * MILLI));
        assertEquals(Optional.empty(), places.dueAt(request("b"), 100 * MILLI));
    }

    /** Load pattern: one caller repeats its request under new identities. The repeats share a single place. */
    @Test
    void repeatsUnderOtherIdentitiesShareOnePlace() {
        places.keep(request("a"), DUE, 0);
        places.keep(request("b"), DUE, 0);
        places.keep(request("c"), DUE, 0);
        assertTrue(places.isReturning(request("d"), 1_000 * MILLI));
        assertTrue(places.isReturning(request("d"), 1_100 * MILLI));
        assertFalse(places.isReturning(request("e"), 1_100 * MILLI));
        ReturnPlaces.Returning other = new ReturnPlaces.Returning(8, "d", "s", "m", 5);
        assertFalse(places.isReturning(other, 1_100 * MILLI));
    }

    /** Guards against a place that outlives the overload in which it was promised. */
    @Test
    void placeExpires() {
        places.keep(request("a"), DUE, 0);
        assertFalse(places.isReturning(request("a"), 6_001 * MILLI));
    }
}
