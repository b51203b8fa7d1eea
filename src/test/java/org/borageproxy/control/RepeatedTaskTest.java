package org.borageproxy.control;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against periodic tasks that end after an error while the process goes on. */
class RepeatedTaskTest {

    private static final Duration INTERVAL = Duration.ofMillis(100);

    private final FleetFake time = new FleetFake();
    private final AtomicInteger runs = new AtomicInteger();

    @Test
    void taskRunsAgainAfterFailures() {
        RepeatedTask.start("test", time.timer(), Duration.ZERO, INTERVAL, () -> {
            if (runs.incrementAndGet() % 2 == 0) {
                throw new StackOverflowError("thrown by the test");
            }
            return true;
        });
        time.run(INTERVAL.multipliedBy(9));
        assertEquals(10, runs.get());
    }

    @Test
    void taskThatHasEndedRunsNoMore() {
        RepeatedTask.start("test", time.timer(), Duration.ZERO, INTERVAL, () -> runs.incrementAndGet() < 3);
        time.run(INTERVAL.multipliedBy(9));
        assertEquals(3, runs.get());
    }
}
