package org.borageproxy.warmup;

import java.time.Duration;
import java.util.OptionalDouble;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class WarmUpSharesTest {

    /** Guards against shares that add up to more than a cold server takes, whatever factor is permitted. */
    @Property(tries = 100, seed = "7")
    void sharesStayWithinThePermittedFactor(@ForAll @DoubleRange(min = 0.1, max = 4) double overage) {
        WarmUpShares shares = WarmUpShares.within(overage, 5);
        assertTrue(shares.coordinatorFactor() * 1.25 + shares.entriesFactor() * 2 <= overage + 1e-9);
        assertTrue(shares.coordinatorFactor() > 0 && shares.coordinatorFactor() <= 1);
    }

    /** Guards against random draws of entries that a fleet without slack does not allow. */
    @Test
    void entriesGetNoShareWithoutSlack() {
        assertEquals(0, WarmUpShares.within(1.5, 0).entriesFactor());
    }

    @Test
    void rulesRejectSenselessValues() {
        assertThrows(
                IllegalArgumentException.class, () -> new WarmUpRules(Duration.ofSeconds(-1), OptionalDouble.empty()));
        assertThrows(IllegalArgumentException.class, () -> new WarmUpRules(Duration.ZERO, OptionalDouble.of(0)));
    }
}
