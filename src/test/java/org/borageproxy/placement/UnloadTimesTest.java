package org.borageproxy.placement;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests of {@link UnloadTimes}. */
class UnloadTimesTest {

    /** Guards against loads that are sent before the engine has room and are rejected. */
    @Test
    void aboutATenthOfTheLoadsComesTooEarly() {
        UnloadTimes times = new UnloadTimes();
        Random random = new Random(1);
        int early = 0;
        for (int load = 0; load < 2_000; load++) {
            double unloadMillis = 60 + random.nextDouble() * 200;
            boolean isAccepted = times.expected().toMillis() >= unloadMillis;
            times.record(isAccepted);
            early += isAccepted ? 0 : 1;
        }
        assertTrue(early < 280, early + " of 2000 came too early");
    }

    @Test
    void rejectedLoadIsRepeatedLessAndLessOften() {
        UnloadTimes times = new UnloadTimes();
        assertEquals(120, times.retryDelay(1).toMillis());
        assertEquals(240, times.retryDelay(2).toMillis());
        assertEquals(480, times.retryDelay(3).toMillis());
        assertEquals(480, times.retryDelay(40).toMillis());
    }
}
