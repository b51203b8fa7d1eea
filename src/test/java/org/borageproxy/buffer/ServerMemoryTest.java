package org.borageproxy.buffer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;

import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests in virtual time how the memory of backend servers is learned from crashes, and from which it is not. */
class ServerMemoryTest {

    private static final long BODY_BYTES = 4L << 20;
    private static final int VM_COUNT = 64;

    private final VirtualTime time = new VirtualTime(Long.MAX_VALUE - 1);
    private final ServerMemory memory = new ServerMemory();
    private final Random random = new Random(3);
    /** Ends of the requests that the server holds, in milliseconds of the test. */
    private final List<Long> heldUntilMillis = new ArrayList<>();

    private long incarnation = 1;
    private long startedAtMillis;
    private int crashes;
    private int served;

    private void crash(long... lostBytes) {
        for (long bytes : lostBytes) {
            memory.recordLost("s", incarnation, bytes, time.nowNanos());
            time.advance(Duration.ofMillis(100));
        }
        time.advance(ServerMemory.COLLECTION);
        memory.learn((server, number) -> true, time.nowNanos());
    }

    private OptionalLong limit() {
        return memory.limit("s", time.nowNanos());
    }

    /**
     * Load pattern: 64 VMs send bodies of 4 MB to a server with room for three, which takes two seconds to start. It
     * must end at most three times in ten minutes, and serve on at two thirds of its room or more.
     */
    @Test
    void serverWithRoomForThreeLargeBodiesSoonStopsCrashing() {
        for (long millis = 0; millis < 600_000; millis += 10) {
            long now = millis;
            served += (int) heldUntilMillis.stream().filter(end -> end <= now).count();
            heldUntilMillis.removeIf(end -> end <= now);
            if (random.nextInt(100) < VM_COUNT && now >= startedAtMillis && admits()) {
                heldUntilMillis.add(now + 200);
            }
            memory.recordHeld("s", heldUntilMillis.size() * BODY_BYTES, time.nowNanos());
            if (heldUntilMillis.size() > 3) {
                crashes++;
                heldUntilMillis.forEach(each -> memory.recordLost("s", incarnation, BODY_BYTES, time.nowNanos()));
                heldUntilMillis.clear();
                incarnation++;
                startedAtMillis = now + 2_000;
            }
            memory.learn((server, number) -> number < incarnation, time.nowNanos());
            time.advance(Duration.ofMillis(10));
        }
        assertTrue(crashes >= 1 && crashes <= 3, "crashes " + crashes);
        assertTrue(served >= 600_000 / 200 * 2, "served " + served);
    }

    private boolean admits() {
        return memory.admits("s", heldUntilMillis.size() * BODY_BYTES, BODY_BYTES, 1, time.nowNanos());
    }

    /** The bytes of all VMs count, although none of them knows those of the others. */
    @Test
    void lossesOfAllVmsAreAddedUp() {
        crash(BODY_BYTES, BODY_BYTES, BODY_BYTES, BODY_BYTES);
        assertEquals((long) (4 * BODY_BYTES * 0.8), limit().orElseThrow());
    }

    /** A part of a prompt makes servers crash that hold little, or no more than they have survived. */
    @Test
    void crashesByPartsOfPromptsTeachNoLimit() {
        crash(2_000, 3_000);
        assertTrue(limit().isEmpty());
        memory.recordHeld("s", 3 * BODY_BYTES, time.nowNanos());
        time.advance(ServerMemory.SURVIVAL);
        memory.recordHeld("s", BODY_BYTES, time.nowNanos());
        incarnation++;
        crash(2 * BODY_BYTES);
        assertTrue(limit().isEmpty());
        assertFalse(memory.mayExplain("s", 3_000, time.nowNanos()));
    }

    /** Once a limit is known and kept, a crash has another cause, and its requests are suspected again. */
    @Test
    void crashBelowKnownLimitDoesNotExcuseItsRequests() {
        assertTrue(memory.mayExplain("s", BODY_BYTES, time.nowNanos()));
        crash(BODY_BYTES, BODY_BYTES);
        assertFalse(memory.mayExplain("s", BODY_BYTES, time.nowNanos()));
    }

    /** Connections also break without a crash; a VM that was frozen reports its losses much later. */
    @Test
    void lossesWithoutTheEndOfTheServerAreForgotten() {
        memory.recordLost("s", incarnation, 4 * BODY_BYTES, time.nowNanos());
        time.advance(ServerMemory.CONFIRMATION);
        memory.learn((server, number) -> true, time.nowNanos());
        assertTrue(limit().isEmpty());
    }

    /** A limit is not used beyond its deadline. */
    @Test
    void limitEndsAtItsDeadline() {
        crash(BODY_BYTES, BODY_BYTES);
        time.advance(ServerMemory.VALIDITY);
        assertTrue(limit().isEmpty());
        assertTrue(memory.admits("s", 9 * BODY_BYTES, BODY_BYTES, 1, time.nowNanos()));
    }

    /** A VM without the coordinator keeps to its share of the limit. */
    @Test
    void shareOfTheLimitHoldsWithoutCoordinator() {
        memory.apply("s", 10 * BODY_BYTES, time.nowNanos());
        assertTrue(memory.admits("s", 0, BODY_BYTES, 0.1, time.nowNanos()));
        assertFalse(memory.admits("s", BODY_BYTES, BODY_BYTES, 0.1, time.nowNanos()));
    }
}
