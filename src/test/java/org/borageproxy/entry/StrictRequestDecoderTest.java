package org.borageproxy.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vertx.core.http.HttpServerOptions;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests in virtual time that heads must end in time while bodies may take longer. */
class StrictRequestDecoderTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final String HEAD = "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n";

    private final VirtualTime time = new VirtualTime(Long.MAX_VALUE - 9);
    private final EmbeddedChannel channel = new EmbeddedChannel(new StrictRequestDecoder(
            new HttpServerOptions(), nowNanos -> Deadline.after(nowNanos, TIMEOUT), time::nowNanos));

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Load pattern: header sections that never end, a byte each second; neither the decoder nor idleness ends them. */
    @Test
    void headThatNeverEndsIsCutOff() {
        receive("GET / HTTP/1.1\r\nX-Slow: ");
        for (int second = 0; second < 2; second++) {
            time.advance(Duration.ofSeconds(1));
            receive("a");
            assertTrue(channel.isOpen());
        }
        time.advance(Duration.ofSeconds(1));
        receive("a");
        assertFalse(channel.isOpen());
    }

    /** A slow body, and a pause between two requests of a connection, are not taken for a slow head. */
    @Test
    void slowBodiesAndIdleConnectionsAreKept() {
        for (int request = 0; request < 3; request++) {
            receive(HEAD);
            for (int part = 0; part < 10; part++) {
                time.advance(Duration.ofSeconds(2));
                receive("0123456789");
            }
            time.advance(Duration.ofSeconds(30));
            assertTrue(channel.isOpen());
        }
    }

    /** A head in two parts within the time is accepted. */
    @Test
    void headInPartsIsAccepted() {
        receive(HEAD.substring(0, 20));
        time.advance(TIMEOUT.minusMillis(1));
        receive(HEAD.substring(20));
        time.advance(Duration.ofSeconds(30));
        receive("0123456789");
        assertTrue(channel.isOpen());
    }
}
