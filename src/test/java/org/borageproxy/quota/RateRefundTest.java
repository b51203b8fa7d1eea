package org.borageproxy.quota;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertTrue;

class RateRefundTest {

    private static final long RATE = 8_000;

    /**
     * Load pattern: one workspace jumps to several times its rate while a third of the entries loses the coordinator
     * and comes back, and a fifth of the requests does not run. Over any eight seconds the fleet spends at most rate,
     * burst and the stated overage.
     */
    @Property(tries = 60)
    void spendingStaysWithinLargeRatesThroughRefunds(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int size) {
        RateFleet fleet = new RateFleet(RATE * size);
        long most = RateFleet.mostInEightSeconds(fleet.playHotWorkspace(new Random(seed), 5));
        assertTrue(most <= fleet.allowedInEightSeconds(), "spent " + most + " of " + fleet.allowedInEightSeconds());
    }
}
