package org.borageproxy.forward;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.borageproxy.buffer.BufferAccount;
import org.borageproxy.buffer.BufferLimits;
import org.borageproxy.buffer.BufferOwner;
import org.borageproxy.buffer.RefusalCost;
import org.borageproxy.buffer.Reservation;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EventScannerTest {

    private final EventScanner scanner = new EventScanner();

    private String append(String bytes) {
        return scanner.append(bytes(bytes)).toString(StandardCharsets.UTF_8);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    @Test
    void passesOnlyCompleteEvents() {
        assertEquals("id: 1\ndata: a\n\n", append("id: 1\ndata: a\n\nid: 2\nda"));
        assertEquals(Optional.of("1"), scanner.lastEventIdentity());
        assertTrue(scanner.hasPartialEvent());
        assertEquals("id: 2\ndata: b\n\n", append("ta: b\n\n"));
        assertEquals(Optional.of("2"), scanner.lastEventIdentity());
        assertFalse(scanner.hasPartialEvent());
    }

    @Test
    void discardsPartialEventAndContinuesWithNextEvent() {
        append("id: 1\ndata: a\n\nid: 2\ndata: half");
        scanner.discardPartialEvent();
        assertEquals(Optional.of("1"), scanner.lastEventIdentity());
        assertEquals("id: 2\ndata: whole\n\n", append("id: 2\ndata: whole\n\n"));
        assertEquals(2, scanner.eventCount());
    }

    /** Guards against events without end of many streams that fill the memory, since no account holds them. */
    @Test
    void partialEventIsHeldByTheAccountAndRefusedIfThereIsNoRoom() {
        BufferAccount account = new BufferAccount(BufferLimits.of(1 << 20, 1 << 20), MonotonicClock.ofSystem());
        Reservation reservation = account.open(new BufferOwner(
                "c", "w", "", new RefusalCost(0, Deadline.after(System.nanoTime(), Duration.ofSeconds(5)))));
        append("data: a");
        scanner.reserve(reservation);
        assertTrue(reservation.bytes() > 0);
        assertThrows(IllegalStateException.class, () -> {
            for (int part = 0; part < 100; part++) {
                append("a".repeat(10_000));
                scanner.reserve(reservation);
            }
        });
    }

    @Test
    void readsEventIdAfterAnotherFieldWithCrlfLineEndings() {
        assertEquals("x-versions: 3\r\nid: 7\r\ndata: a\r\n\r\n", append("x-versions: 3\r\nid: 7\r\ndata: a\r\n\r\n"));
        assertEquals(Optional.of("7"), scanner.lastEventIdentity());
    }

    @Property(tries = 200)
    void chunkSizeDoesNotAffectPassedEvents(@ForAll @IntRange(min = 1, max = 40) int size) {
        String stream = "id: 1\ndata: alpha\n\nid: 2\ndata: beta\n\nid: 3\ndata: gamma\n\n";
        EventScanner chunkScanner = new EventScanner();
        StringBuilder passed = new StringBuilder();
        for (int start = 0; start < stream.length(); start += size) {
            String chunk = stream.substring(start, Math.min(stream.length(), start + size));
            passed.append(chunkScanner.append(bytes(chunk)).toString(StandardCharsets.UTF_8));
        }
        assertEquals(stream, passed.toString());
        assertEquals(Optional.of("3"), chunkScanner.lastEventIdentity());
    }
}
