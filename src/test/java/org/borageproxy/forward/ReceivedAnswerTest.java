package org.borageproxy.forward;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.borageproxy.buffer.BufferAccount;
import org.borageproxy.buffer.BufferLimits;
import org.borageproxy.buffer.BufferOwner;
import org.borageproxy.buffer.RefusalCost;
import org.borageproxy.buffer.Reservation;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that the account holds what a kept answer takes up in memory. */
class ReceivedAnswerTest {

    private static final int PART_BYTES = 10_000;
    private static final int PARTS = 30;

    private final BufferAccount account =
            new BufferAccount(BufferLimits.of(16 << 20, 16 << 20), MonotonicClock.ofSystem());
    private final Reservation reservation = account.open(new BufferOwner(
            "c", "w", "", new RefusalCost(0, Deadline.after(System.nanoTime(), Duration.ofSeconds(5)))));
    private final ReceivedAnswer answer = new ReceivedAnswer(reservation);

    private void keepParts() {
        answer.setHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
        for (int part = 0; part < PARTS; part++) {
            assertTrue(answer.keep(Unpooled.wrappedBuffer(new byte[PART_BYTES])));
        }
    }

    /** 300 kB lie in a buffer of 512 kB; guards against an account of their size only. */
    @Test
    void accountHoldsTheCapacityOfTheKeptBody() {
        keepParts();
        long held = reservation.bytes();
        ByteBuf body = answer.takeBody();
        assertEquals(PARTS * PART_BYTES, body.readableBytes());
        assertEquals(body.capacity(), held);
        assertEquals(0, reservation.bytes());
    }

    /** Guards against parts of a broken answer that stay reachable through the attempt that received them. */
    @Test
    void discardedBodyReturnsItsMemory() {
        keepParts();
        answer.discardBody();
        assertEquals(0, reservation.bytes());
        assertEquals(0, answer.keptBytes());
        answer.discardBody();
        assertEquals(0, reservation.bytes());
    }
}
