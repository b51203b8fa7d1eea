package org.borageproxy.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import org.borageproxy.buffer.BufferAccount;
import org.borageproxy.buffer.BufferLimits;
import org.borageproxy.buffer.BufferOwner;
import org.borageproxy.buffer.RefusalCost;
import org.borageproxy.buffer.Reservation;
import org.borageproxy.stream.EventSequence;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PartialEventMemoryTest {

    private final BufferAccount account =
            new BufferAccount(BufferLimits.of(1 << 20, 1 << 20), MonotonicClock.ofSystem());
    private final Reservation reservation = account.open(new BufferOwner(
            "c", "w", "", new RefusalCost(0, Deadline.after(System.nanoTime(), Duration.ofSeconds(5)))));
    private final PartialEventMemory memory = new PartialEventMemory(reservation);
    private final EventSequence events = new EventSequence(false, Optional.empty());

    private boolean append(String text) {
        events.append(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return memory.hold(events.heldBytes());
    }

    /** Guards against events without end of many streams that fill the memory, since no account holds them. */
    @Test
    void partialEventIsHeldByTheAccountAndRefusedIfThereIsNoRoom() {
        events.begin(200, Optional.empty());
        assertTrue(append("data: a"));
        assertTrue(reservation.bytes() > 0);
        boolean hasRoom = true;
        for (int part = 0; part < 100; part++) {
            hasRoom &= append("a".repeat(10_000));
        }
        assertFalse(hasRoom);
    }

    @Test
    void memoryOfDiscardedEventIsReturned() {
        events.begin(200, Optional.empty());
        append("data: " + "a".repeat(1_000));
        events.discardPending();
        memory.hold(events.heldBytes());
        assertEquals(0, reservation.bytes());
    }
}
