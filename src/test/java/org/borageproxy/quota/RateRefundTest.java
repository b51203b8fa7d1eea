package org.borageproxy.quota;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertTrue;

class RateRefundTest {

    private static final long RATE = 8_000;

    /**
     * Load pattern: the demand of one workspace rises to several times its rate while a third of the entries loses the
     * coordinator and reconnects, and a fifth of the requests does not run. In any period of eight seconds, all entries
     * together spend at most the rate, the burst and the permitted overage.
     */
    @Property(tries = 60)
    void spendingStaysWithinLargeRatesThroughRefunds(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int size) {
        RateFleet fleet = new RateFleet(RATE * size);
        long maxSpent = RateFleet.maxSpentInEightSeconds(fleet.simulateOverload(new Random(seed), 5));
        assertTrue(
                maxSpent <= fleet.allowedInEightSeconds(),
                "spent " + maxSpent + " of " + fleet.allowedInEightSeconds());
    }
}
