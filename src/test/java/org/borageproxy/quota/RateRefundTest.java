package org.borageproxy.quota;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

class RateRefundTest {

    private static final long RATE = 8_000;

    /** The seeds of which the bound was exceeded when withheld shares could accumulate beyond the burst. */
    @ParameterizedTest
    @ValueSource(longs = {79, 394, 1_509, 1_577, 2_819})
    void spendingStaysWithinTheRateForSeedsThatExceededIt(long seed) {
        spendingStaysWithinLargeRatesThroughRefunds(seed, 1);
    }

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
