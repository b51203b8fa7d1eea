package org.borageproxy.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.borageproxy.buffer.BufferLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an entry that tells callers for good that their requests are wrong while a publication may be in force
 * that it does not have.
 */
class OldPublicationTest {

    private static final long HEAP_BYTES = 160L << 20;

    private ForwardingFixture forwarding;

    @BeforeEach
    void start() throws Exception {
        forwarding = new ForwardingFixture(BufferLimits.of(HEAP_BYTES, HEAP_BYTES), Duration.ofSeconds(3));
    }

    @AfterEach
    void stop() throws Exception {
        forwarding.close();
    }

    @Test
    void requestThatPublicationDoesNotAllowIsRefusedForGoodOnlyIfNoNewerOneCanBeDue() throws Exception {
        assertTrue(call("/new/", "key-w").startsWith("HTTP/1.1 404"));
        assertTrue(call("/once/", "new-key").startsWith("HTTP/1.1 401"));
        forwarding.setPublicationCurrent(false);
        assertRetryIsInvited(call("/new/", "key-w"));
        assertRetryIsInvited(call("/once/", "new-key"));
    }

    /**
     * Guards against a request that runs as only an older publication allows, at an entry that knows of a newer one.
     */
    @Test
    void requestIsRefusedAsNotRunWhileNewerPublicationIsOverdue() throws Exception {
        forwarding.setPublicationOverdue(true);
        assertRetryIsInvited(call("/once/", "key-w"));
        forwarding.setPublicationOverdue(false);
        assertFalse(call("/once/", "key-w").contains("old-publication"));
    }

    private static void assertRetryIsInvited(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("etry-"), answer);
    }

    private String call(String path, String key) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", forwarding.port())) {
            String request = "POST " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: id-1\r\nX-Credential: "
                    + key + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
