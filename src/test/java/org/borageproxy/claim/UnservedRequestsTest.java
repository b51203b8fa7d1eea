package org.borageproxy.claim;

import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests of {@link UnservedRequests}. */
class UnservedRequestsTest {

    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Target TARGET = new Target("s", "m1", "a1");

    private final UnservedRequests unserved = new UnservedRequests();

    private Map<Target, Long> collect(boolean isUsable, long seconds) {
        return unserved.collect(target -> isUsable, seconds * SECOND_NANOS);
    }

    @Test
    void refusalIsReportedOnceASecondWithTheTimeOfTheFirst() {
        unserved.recordRefusal(TARGET, SECOND_NANOS);
        assertEquals(Map.of(TARGET, SECOND_NANOS), collect(false, 1));
        unserved.recordRefusal(TARGET, 2 * SECOND_NANOS - 1);
        assertEquals(Map.of(), unserved.collect(target -> false, 2 * SECOND_NANOS - 1));
        assertEquals(Map.of(TARGET, SECOND_NANOS), collect(false, 2));
    }

    @Test
    void nothingIsReportedOnceAnEngineHasIt() {
        unserved.recordRefusal(TARGET, SECOND_NANOS);
        assertEquals(Map.of(), collect(true, 1));
        assertEquals(Map.of(), collect(false, 3));
    }

    @Test
    void nothingIsReportedLongAfterTheLatestRefusal() {
        unserved.recordRefusal(TARGET, SECOND_NANOS);
        assertEquals(Map.of(TARGET, SECOND_NANOS), collect(false, 30));
        assertEquals(Map.of(), collect(false, 31));
    }
}
