package org.borageproxy.event;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests of {@link HybridClock}. */
class HybridClockTest {

    @Property(seed = "42", tries = 200)
    void readingsExceedAllEarlierReadingsAndObservedTimestamps(
            @ForAll List<@LongRange(min = 0, max = 1_000) Long> wallReadings,
            @ForAll List<@LongRange(min = 0, max = 1_000) Long> observed) {
        long[] wall = {0};
        HybridClock clock = new HybridClock((InstantSource) () -> Instant.ofEpochMilli(wall[0]));
        HybridTimestamp previous = HybridTimestamp.ZERO;
        for (int step = 0; step < wallReadings.size(); step++) {
            wall[0] = wallReadings.get(step);
            HybridTimestamp received = new HybridTimestamp(step < observed.size() ? observed.get(step) : 0, 3);
            clock.observe(received);
            HybridTimestamp reading = clock.tick();
            assertTrue(reading.compareTo(previous) > 0 && reading.compareTo(received) > 0);
            previous = reading;
        }
    }
}
