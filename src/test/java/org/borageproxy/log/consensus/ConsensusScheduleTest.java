package org.borageproxy.log.consensus;

import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Runs simulated groups through seeded schedules of faults. The system property {@code borageproxy.schedules} sets the
 * number of schedules, {@code borageproxy.firstSchedule} the first seed.
 */
class ConsensusScheduleTest {

    private static final int SCHEDULE_COUNT = Integer.getInteger("borageproxy.schedules", 1500);

    private static final long FAULT_MILLIS = 2000;

    private static final int FIRST_SEED = Integer.getInteger("borageproxy.firstSchedule", 0);

    @Test
    void groupsStaySafeAndRecoverUnderFaults() {
        AtomicLong reads = new AtomicLong();
        AtomicLong elections = new AtomicLong();
        IntStream.range(FIRST_SEED, FIRST_SEED + SCHEDULE_COUNT).parallel().forEach(seed -> {
            GroupSimulation simulation = new GroupSimulation(seed, seed % 3 == 0 ? 5 : 3);
            try {
                simulation.run(FAULT_MILLIS * GroupSimulation.NANOS_PER_MILLI);
            } catch (RuntimeException | AssertionError failure) {
                throw new AssertionError("Schedule " + seed + ": " + failure, failure);
            }
            reads.addAndGet(simulation.confirmedReads());
            elections.addAndGet(simulation.elections());
        });
        System.out.println("schedules=" + SCHEDULE_COUNT + " elections=" + elections + " reads=" + reads);
        assertTrue(
                reads.get() > SCHEDULE_COUNT && elections.get() > SCHEDULE_COUNT,
                "The schedules must lead to more reads and elections than there are schedules");
    }
}
