package org.borageproxy.buffer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests in virtual time when the server of a slow caller is read on and when the caller is disconnected. */
class DeliveryTest {

    private static final BufferLimits LIMITS = BufferLimits.of(160L << 20, 160L << 20);

    private final VirtualTime time = new VirtualTime(-3);
    private final BufferAccount account = new BufferAccount(LIMITS, time::nowNanos);

    private Delivery delivery(String caller, String workspace, long deadlineMillis) {
        Deadline deadline = Deadline.after(time.nowNanos(), Duration.ofMillis(deadlineMillis));
        BufferOwner owner = new BufferOwner(caller, workspace, "", new RefusalCost(4, deadline));
        return new Delivery(account.open(owner), LIMITS.spoolBytes(), deadline);
    }

    /**
     * Load pattern: a thousand callers at 1 kB/s, each with a ready answer of 30 kB and a deadline of 5 s. Their
     * connections report progress in steps of 11 kB.
     */
    @Test
    void thousandCallersAtOneKilobytePerSecondReceiveTheirAnswers() {
        List<Delivery> deliveries = new ArrayList<>();
        for (int caller = 0; caller < 1_000; caller++) {
            Delivery delivery = delivery("c" + caller, "w" + caller % 16, 5_000);
            delivery.recordQueued(30_000, time.nowNanos());
            assertFalse(delivery.isPaused());
            deliveries.add(delivery);
            scheduleSteps(delivery, 30_000);
        }
        assertEquals(30_000_000, account.heldBytes());
        for (int second = 0; second < 40; second++) {
            time.advance(Duration.ofSeconds(1));
            deliveries.stream()
                    .filter(each -> each.unsentBytes() > 0)
                    .forEach(each -> assertFalse(each.disconnectAt().hasPassed(time.nowNanos())));
        }
        assertEquals(0, account.heldBytes());
    }

    private void scheduleSteps(Delivery delivery, int leftBytes) {
        int step = Math.min(11_000, leftBytes);
        if (step > 0) {
            time.scheduleAfterMillis(step, () -> {
                delivery.recordTaken(step, time.nowNanos());
                scheduleSteps(delivery, leftBytes - step);
            });
        }
    }

    /** A caller that takes nothing is disconnected at its deadline, or 20 s after it took the last bytes. */
    @Test
    void callerThatTakesNothingIsDisconnected() {
        Delivery longDeadline = delivery("c", "w", 60_000);
        longDeadline.recordQueued(1_000, time.nowNanos());
        Delivery shortDeadline = delivery("d", "w", 1_000);
        shortDeadline.recordQueued(1_000, time.nowNanos());
        time.advance(Duration.ofSeconds(20));
        assertTrue(shortDeadline.disconnectAt().hasPassed(time.nowNanos()));
        assertFalse(longDeadline.disconnectAt().hasPassed(time.nowNanos()));
        time.advance(Duration.ofSeconds(40));
        assertTrue(longDeadline.disconnectAt().hasPassed(time.nowNanos()));
    }

    /** The server is read into the spool, then not, and again once half of the spool is free. */
    @Test
    void serverIsReadWhileTheSpoolHasRoom() {
        Delivery delivery = delivery("c", "w", 5_000);
        delivery.recordQueued(LIMITS.spoolBytes(), time.nowNanos());
        assertFalse(delivery.isPaused());
        delivery.recordQueued(1, time.nowNanos());
        assertTrue(delivery.isPaused());
        assertFalse(delivery.recordTaken(LIMITS.spoolBytes() / 2, time.nowNanos()));
        assertTrue(delivery.recordTaken(1, time.nowNanos()));
        assertFalse(delivery.isPaused());
        delivery.end();
        assertEquals(0, account.heldBytes());
    }

    /**
     * Load pattern: one workspace whose callers all read slowly. Its servers are read no further once its share is
     * used, and a healthy stream of another workspace never pauses.
     */
    @Test
    void slowWorkspacePausesOnlyItsOwnStreams() {
        Delivery healthy = delivery("h", "healthy", 15_000);
        List<Delivery> slow = new ArrayList<>();
        for (int caller = 0; caller < 200; caller++) {
            slow.add(delivery("s" + caller, "slow", 15_000));
        }
        for (int event = 0; event < 500; event++) {
            slow.stream().filter(each -> !each.isPaused()).forEach(each -> each.recordQueued(4_096, time.nowNanos()));
            healthy.recordQueued(4_096, time.nowNanos());
            assertFalse(healthy.isPaused());
            assertFalse(healthy.recordTaken(4_096, time.nowNanos()));
            time.advance(Duration.ofMillis(50));
        }
        assertTrue(account.heldBytes() <= LIMITS.workspaceBytes() + 200 * 4_096, "held " + account.heldBytes());
        assertTrue(slow.stream().allMatch(Delivery::isPaused));
    }

    /** A paused stream resumes as soon as its caller has everything, even while the share is used by others. */
    @Test
    void pausedStreamResumesWhenItsCallerHasTakenAll() {
        Delivery other = delivery("a", "w", 15_000);
        other.recordQueued(LIMITS.workspaceBytes(), time.nowNanos());
        Delivery stream = delivery("b", "w", 15_000);
        stream.recordQueued(100, time.nowNanos());
        assertTrue(stream.isPaused());
        assertTrue(stream.recordTaken(100, time.nowNanos()));
    }
}
