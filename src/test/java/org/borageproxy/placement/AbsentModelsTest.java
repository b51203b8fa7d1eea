package org.borageproxy.placement;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AbsentModelsTest {

    private final VirtualTime time = new VirtualTime(1);
    private final AbsentModels absent = new AbsentModels();

    private List<AbsentModels.Ended> update(String... loaded) {
        return absent.update(Set.of(loaded)::contains, Set.of(loaded)::contains, time.nowNanos());
    }

    /** Callers that are refused return; the time since the first of them decides which model has waited longest. */
    @Test
    void absenceLastsOverRefusalsAndIsReportedOnce() {
        assertTrue(absent.recordWait("m", time.nowNanos()));
        time.advance(Duration.ofSeconds(4));
        assertFalse(absent.recordWait("m", time.nowNanos()));
        assertEquals(List.of(), update("other"));
        time.advance(Duration.ofSeconds(3));
        assertEquals(List.of(new AbsentModels.Ended("m", 7_000, 2, true)), update("m"));
        assertEquals(List.of(), update("m"));
    }

    @Test
    void absenceWithoutFurtherRequestsEnds() {
        absent.recordWait("m", time.nowNanos());
        time.advance(Duration.ofSeconds(10));
        assertEquals(List.of(new AbsentModels.Ended("m", 10_000, 1, false)), update());
    }

    /** Guards against a load on behalf of an engine that left long ago. */
    @Test
    void lostCopyIsReplacedUntilDeadlineOrLoad() {
        absent.recordLoss("m", time.nowNanos());
        absent.recordLoss("n", time.nowNanos());
        update("n");
        assertEquals(Set.of("m"), absent.lost());
        assertTrue(absent.complete("m", LoadPlanner.Demand.NONE).isCopyLost());
        time.advance(Duration.ofSeconds(15));
        update();
        assertEquals(Set.of(), absent.lost());
    }
}
