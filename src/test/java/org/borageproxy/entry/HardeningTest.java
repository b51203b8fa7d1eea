package org.borageproxy.entry;

import java.net.Socket;
import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Sends malformed, oversized and slow requests as raw bytes. */
class HardeningTest {

    private static final String AUTHORIZATION = "Authorization: Bearer " + EntryFixture.KEY + "\r\n";
    private EntryFixture fixture;
    private ScriptedBackend service;

    @BeforeEach
    void start() {
        EntrySettings.Limits limits = new EntrySettings.Limits(
                1000, 4096, 20, 1000, Duration.ofMillis(700), Duration.ofSeconds(1), Duration.ofMillis(700));
        fixture = new EntryFixture(settings -> settings.withLimits(limits));
        service = ScriptedBackend.answering((exchange, number) -> exchange.respond(200, "ok"));
        fixture.addService("service-1", service.port());
    }

    @AfterEach
    void stop() {
        assertEquals(200, fixture.get("/stock/1").statusCode(), "the server still responds");
        fixture.close();
        service.close();
    }

    private void assertRefused(String bytes, String status, String name) {
        String response = fixture.sendRaw(bytes);
        assertTrue(response.startsWith("HTTP/1.1 " + status), response);
        assertTrue(response.contains("\"name\":\"" + name + "\""), response);
        assertTrue(response.contains("borageproxy-outcome: not-run"), response);
        assertFalse(response.contains(EntryFixture.KEY), response);
        assertTrue(service.runs().isEmpty());
    }

    private static String post(String headers, String body) {
        return "POST /orders HTTP/1.1\r\n" + AUTHORIZATION + headers + "\r\n" + body;
    }

    @Test
    void refusesAmbiguousFraming() {
        assertRefused(
                post("Host: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
                "400",
                "AMBIGUOUS_FRAMING");
        assertRefused(
                post("Host: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n", "aaaaa"), "400", "AMBIGUOUS_FRAMING");
        assertRefused(post("Host: x\r\nHost: y\r\nContent-Length: 1\r\n", "a"), "400", "AMBIGUOUS_FRAMING");
    }

    @Test
    void refusesOversizedHeadersAndBodies() {
        assertRefused(post("Host: x\r\nX: " + "a".repeat(8000) + "\r\n", ""), "400", "MALFORMED_REQUEST");
        assertRefused(post("Host: x\r\n" + "X: a\r\n".repeat(40), ""), "400", "MALFORMED_REQUEST");
        assertRefused(
                post("Host: x\r\nConnection: close\r\nContent-Length: 5000\r\n", "a".repeat(5000)),
                "413",
                "BODY_TOO_LARGE");
        String chunk = "400\r\n" + "a".repeat(1024) + "\r\n";
        assertRefused(
                post("Host: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n", chunk + chunk + "0\r\n\r\n"),
                "413",
                "BODY_TOO_LARGE");
    }

    @Test
    void closesConnectionsOfSlowSenders() {
        String dripped = fixture.sendRaw("GET /stock/1 HTTP/1.1\r\n", HardeningTest::drip);
        assertFalse(dripped.contains("200"), dripped);
        String slowBody = fixture.sendRaw(post("Host: x\r\nContent-Length: 9\r\n", "a"));
        assertTrue(slowBody.startsWith("HTTP/1.1 400"), slowBody);
        assertEquals("", fixture.sendRaw(""));
        assertTrue(service.runs().isEmpty());
    }

    private static void drip(Socket socket) {
        try {
            for (int line = 0; line < 100; line++) {
                socket.getOutputStream().write(("X-" + line + ": a\r\n").getBytes());
                Thread.sleep(20);
            }
        } catch (java.io.IOException | InterruptedException exception) {
            // Expected: the server closes the connection of a slow sender.
        }
    }
}
