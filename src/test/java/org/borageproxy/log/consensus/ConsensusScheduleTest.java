package org.borageproxy.log.consensus;

import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Drives groups of cores through seeded schedules of faults. The system property {@code borageproxy.schedules} sets how
 * many, {@code borageproxy.firstSchedule} the first seed.
 */
class ConsensusScheduleTest {

    private static final int SCHEDULES = Integer.getInteger("borageproxy.schedules", 1500);

    private static final long FAULT_MILLIS = 2000;

    private static final int FIRST = Integer.getInteger("borageproxy.firstSchedule", 0);

    @Test
    void groupsStaySafeAndRecoverUnderFaults() {
        AtomicLong reads = new AtomicLong();
        AtomicLong elections = new AtomicLong();
        IntStream.range(FIRST, FIRST + SCHEDULES).parallel().forEach(seed -> {
            GroupSimulation simulation = new GroupSimulation(seed, seed % 3 == 0 ? 5 : 3);
            try {
                simulation.run(FAULT_MILLIS * GroupSimulation.MILLISECOND);
            } catch (RuntimeException | AssertionError failure) {
                throw new AssertionError("Schedule " + seed + ": " + failure, failure);
            }
            reads.addAndGet(simulation.confirmedReads());
            elections.addAndGet(simulation.elections());
        });
        System.out.println("schedules=" + SCHEDULES + " elections=" + elections + " reads=" + reads);
        assertTrue(reads.get() > SCHEDULES && elections.get() > SCHEDULES, "The schedules exercise too little");
    }
}
