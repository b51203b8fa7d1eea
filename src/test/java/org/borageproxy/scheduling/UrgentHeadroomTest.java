package org.borageproxy.scheduling;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.borageproxy.routing.EngineWork;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class UrgentHeadroomTest {

    private static final long SECOND = 1_000_000_000L;

    private final UrgentHeadroom headroom = new UrgentHeadroom();

    private void arrive(int rank, int count) {
        EngineWork work = new EngineWork("m", "", 500, 0, List.of());
        RequestCost.Times times = new RequestCost.Times(0, Duration.ZERO, Duration.ofSeconds(1), Duration.ofSeconds(5));
        for (int number = 0; number < count; number++) {
            headroom.recordArrival("s", RequestCost.of(rank, false, "w", Optional.of(work), times), 0);
        }
    }

    /**
     * Load pattern: a burst of delay-tolerant work beside urgent work. Each rank leaves more than the one before it.
     */
    @Test
    void lessUrgentRanksLeaveMoreFree() {
        arrive(4, 50);
        arrive(5, 30);
        arrive(6, 300);
        assertEquals(1, headroom.usableShare("s", 4, 0));
        assertEquals(0.85, headroom.usableShare("s", 5, 0), 1e-9);
        assertEquals(0.7, headroom.usableShare("s", 6, 0), 1e-9);
        assertEquals(0.7, headroom.usableShare("s", 9, 0), 1e-9);
    }

    /** Guards against capacity left free for urgent work that no longer arrives, or hardly ever. */
    @Test
    void nothingIsLeftFreeWithoutUrgentArrivals() {
        arrive(6, 300);
        assertEquals(1, headroom.usableShare("s", 6, 0));
        arrive(4, 2);
        assertEquals(1, headroom.usableShare("s", 6, 0));
        assertEquals(1, headroom.usableShare("other", 6, 0));
        arrive(4, 100);
        assertEquals(0.85, headroom.usableShare("s", 6, 0), 1e-9);
        assertEquals(1, headroom.usableShare("s", 6, 30 * SECOND));
    }
}
