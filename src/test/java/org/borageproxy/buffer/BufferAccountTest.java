package org.borageproxy.buffer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests in virtual time that buffered bytes stay within their bounds and are returned exactly once. */
class BufferAccountTest {

    private static final long KILOBYTE = 1 << 10;
    private static final int URGENT = 4;
    private static final int PATIENT = 6;
    /** Bounds of a process with 16 MB: 4 MB in total, 2 MB a workspace and server, 1 MB a caller. */
    private static final BufferLimits LIMITS = BufferLimits.of(16 << 20, 16 << 20);

    private final VirtualTime time = new VirtualTime(Long.MAX_VALUE - 5);
    private final BufferAccount account = new BufferAccount(LIMITS, time::nowNanos);

    private BufferOwner owner(String caller, String workspace, int rank, long millis) {
        return new BufferOwner(
                caller,
                workspace,
                "",
                new RefusalCost(rank, Deadline.after(time.nowNanos(), Duration.ofMillis(millis))));
    }

    private Reservation granted(BufferOwner owner, long bytes) {
        return assertInstanceOf(Reservation.class, account.reserve(owner, bytes));
    }

    /** Guards against bytes that are returned twice, or never, whatever the order of growth, return and release. */
    @Test
    void bytesAreReturnedExactlyOnceInAnyOrder() {
        Random random = new Random(7);
        List<Reservation> open = new ArrayList<>();
        for (int step = 0; step < 100_000; step++) {
            switch (random.nextInt(5)) {
                case 0 ->
                    open.add(account.open(
                            owner("c" + random.nextInt(9), "w" + random.nextInt(3), random.nextInt(10), 1_000)));
                case 1 ->
                    pick(open, random)
                            .filter(each -> !each.isReleased())
                            .ifPresent(each -> each.grow(random.nextInt(200_000)));
                case 2 ->
                    pick(open, random)
                            .filter(each -> !each.isReleased())
                            .ifPresent(each -> each.record(random.nextInt(100)));
                case 3 -> pick(open, random).ifPresent(each -> each.shrink(random.nextInt(300_000)));
                default -> pick(open, random).ifPresent(Reservation::release);
            }
            assertEquals(open.stream().mapToLong(Reservation::bytes).sum(), account.heldBytes());
            if (open.size() > 50) {
                open.removeIf(Reservation::isReleased);
            }
        }
        open.forEach(Reservation::release);
        open.forEach(Reservation::release);
        assertEquals(0, account.heldBytes());
        assertEquals(0, account.openCount());
    }

    private static Optional<Reservation> pick(List<Reservation> open, Random random) {
        return open.isEmpty() ? Optional.empty() : Optional.of(open.get(random.nextInt(open.size())));
    }

    /** Load pattern: one workspace whose callers all read slowly. The others keep half of the memory. */
    @Test
    void slowCallersOfOneWorkspaceUseUpOnlyItsShare() {
        long accepted = 0;
        for (int caller = 0; caller < 1_000; caller++) {
            if (account.reserve(owner("slow" + caller, "slow", URGENT, 5_000), 64 * KILOBYTE) instanceof Reservation) {
                accepted += 64 * KILOBYTE;
            }
        }
        assertEquals(LIMITS.workspaceBytes(), accepted);
        Shortage shortage =
                assertInstanceOf(Shortage.class, account.reserve(owner("slow", "slow", URGENT, 5_000), KILOBYTE));
        assertEquals(Shortage.Bound.WORKSPACE, shortage.bound());
        assertFalse(account.mayBegin(owner("slow", "slow", URGENT, 5_000)));
        for (int caller = 0; caller < 16; caller++) {
            assertTrue(account.mayBegin(owner("other" + caller, "other", PATIENT, 5_000)));
            granted(owner("other" + caller, "other", PATIENT, 5_000), 64 * KILOBYTE);
        }
    }

    /** Load pattern: bursts of large bodies without slow readers. Nothing is refused while the bounds hold. */
    @Test
    void nothingIsRefusedBelowTheBounds() {
        for (int round = 0; round < 10_000; round++) {
            List<Reservation> open = new ArrayList<>();
            for (int workspace = 0; workspace < 4; workspace++) {
                assertTrue(account.mayBegin(owner("c", "w" + workspace, URGENT, 1_000)));
                open.add(granted(owner("c" + workspace, "w" + workspace, URGENT, 1_000), 256 * KILOBYTE));
            }
            open.forEach(Reservation::release);
        }
        assertEquals(0, account.refusalCount());
    }

    /** A body larger than the share of its caller passes as long as the caller holds nothing else. */
    @Test
    void loneLargeBodyIsBoundedByTheTotalOnly() {
        Reservation body = granted(owner("c", "w", URGENT, 1_000), 3 << 20);
        assertTrue(body.grow(2 << 20).isPresent());
        assertInstanceOf(Shortage.class, account.reserve(owner("c", "w", URGENT, 1_000), 1));
    }

    /** Load pattern: memory is full of less urgent work that waits. Guards against refusing what costs callers more. */
    @Test
    void leastCostlyRequestsAreRefusedFirst() {
        List<String> refused = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            int rank = index < 2 ? PATIENT : URGENT;
            String name = rank + "-" + index;
            Reservation waiting = granted(owner("c" + index, "w" + index, rank, 1_000 + index), 1 << 20);
            waiting.allowEviction(shortage -> {
                refused.add(name);
                waiting.release();
            });
        }
        granted(owner("urgent", "u", URGENT, 500), KILOBYTE);
        assertEquals(List.of("6-1"), refused);
        assertInstanceOf(Shortage.class, account.reserve(owner("patient", "p", PATIENT, 60_000), 2 << 20));
        assertEquals(List.of("6-1"), refused);
    }

    /** Requests that a server may have begun are never refused to make room. */
    @Test
    void requestsThatWereSentAreNotRefused() {
        Reservation sent = granted(owner("c", "w", PATIENT, 1_000), 4 << 20);
        sent.allowEviction(shortage -> {
            throw new AssertionError("refused a request that was sent");
        });
        sent.forbidEviction();
        Shortage shortage =
                assertInstanceOf(Shortage.class, account.reserve(owner("urgent", "u", URGENT, 500), KILOBYTE));
        assertTrue(shortage.mayWait());
    }

    /** Guards against two half-read bodies that wait for each other's memory until their deadlines. */
    @Test
    void bodiesDoNotWaitForEachOther() {
        Reservation first = granted(owner("a", "a", URGENT, 1_000), 2 << 20);
        Reservation second = granted(owner("b", "b", URGENT, 1_000), 2 << 20);
        first.allowEviction(shortage -> first.release());
        second.allowEviction(shortage -> second.release());
        assertFalse(first.grow(KILOBYTE).orElseThrow().mayWait());
    }

    /** A retry at the stated time finds room if the load has not changed. */
    @Test
    void statedTimeIsWhenRoomComes() {
        Reservation held = granted(owner("c", "w", URGENT, 800), 4 << 20);
        time.scheduleAfterMillis(800, held::release);
        Shortage shortage = assertInstanceOf(Shortage.class, account.reserve(owner("d", "d", URGENT, 5_000), KILOBYTE));
        assertEquals(Duration.ofMillis(800), shortage.roomAfter());
        time.advance(shortage.roomAfter());
        granted(owner("d", "d", URGENT, 5_000), KILOBYTE);
    }

    /** Callers take 100 kB/s; guards against a stated time that ignores how fast memory comes back. */
    @Test
    void statedTimeFollowsTheRateOfReturn() {
        Reservation held = granted(owner("c", "w", URGENT, 60_000), 4 << 20);
        for (int tenth = 0; tenth < 100; tenth++) {
            time.advance(Duration.ofMillis(100));
            held.shrink(10_000);
            held.record(10_000);
        }
        Shortage shortage = assertInstanceOf(Shortage.class, account.reserve(owner("d", "d", URGENT, 5_000), 50_000));
        assertEquals(500, shortage.roomAfter().toMillis(), 50);
    }

    /** Above the mark new bodies wait; those that have begun come first, then the most urgent. */
    @Test
    void waitersAreResumedInOrderOfBeginningAndUrgency() {
        Reservation held = granted(owner("c", "w", URGENT, 1_000), 4 << 20);
        Reservation begun = account.open(owner("b", "b", PATIENT, 1_000));
        List<String> resumed = new ArrayList<>();
        account.awaitBeginning(owner("p", "p", PATIENT, 1_000), () -> resumed.add("patient"));
        account.awaitBeginning(owner("u", "u", URGENT, 1_000), () -> resumed.add("urgent"));
        account.awaitRoom(begun, KILOBYTE, () -> resumed.add("begun"));
        BufferAccount.Waiter left = account.awaitBeginning(owner("l", "l", URGENT, 1_000), () -> resumed.add("left"));
        account.cancel(left);
        held.shrink(KILOBYTE);
        assertEquals(List.of("begun"), resumed);
        held.shrink(2 << 20);
        assertEquals(List.of("begun", "urgent", "patient"), resumed);
        assertEquals(0, account.waiterCount());
    }

    /**
     * Load pattern: a burst of large bodies that all begin before the first bytes arrive. Those beyond the mark wait
     * instead of being refused halfway.
     */
    @Test
    void bodiesBeginOnlyAsFarAsTheirAnnouncedLengthsHaveRoom() {
        List<Reservation> begun = new ArrayList<>();
        for (int body = 0; body < 60; body++) {
            BufferOwner owner = owner("c" + body, "w" + body % 4, URGENT, 5_000);
            if (account.mayBegin(owner)) {
                Reservation reservation = account.open(owner);
                reservation.expect(512 * KILOBYTE);
                begun.add(reservation);
            }
        }
        assertEquals(6, begun.size());
        for (Reservation each : begun) {
            assertTrue(each.grow(512 * KILOBYTE).isEmpty());
        }
        begun.forEach(Reservation::release);
        assertTrue(account.mayBegin(owner("c", "w", URGENT, 5_000)));
        assertEquals(0, account.heldBytes());
    }

    /** Load pattern: bodies that announce more than they send. They keep only their own workspace from beginning. */
    @Test
    void announcedLengthsHoldBackOnlyTheirWorkspace() {
        for (int body = 0; body < 100; body++) {
            BufferOwner owner = owner("c" + body, "liar", URGENT, 5_000);
            if (account.mayBegin(owner)) {
                account.open(owner).expect(100 * KILOBYTE);
            }
        }
        assertFalse(account.mayBegin(owner("c", "liar", URGENT, 5_000)));
        assertTrue(account.mayBegin(owner("d", "other", URGENT, 5_000)));
    }

    /** Load pattern: servers that take bodies at 10 kB/s. Only the share of one server fills up. */
    @Test
    void slowServerUsesUpOnlyItsShare() {
        Reservation body = account.open(owner("c", "w", URGENT, 5_000));
        for (int request = 0; request < 100; request++) {
            if (account.hasRoomFor(body, "slow", 64 * KILOBYTE)) {
                granted(owner("c" + request, "w" + request, URGENT, 5_000).withServer("slow"), 64 * KILOBYTE);
            }
        }
        assertEquals(LIMITS.serverBytes(), account.heldBytes());
        assertFalse(account.hasRoomFor(body, "slow", 1));
        assertTrue(account.hasRoomFor(body, "other", 64 * KILOBYTE));
    }
}
