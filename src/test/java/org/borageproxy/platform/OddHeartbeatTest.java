package org.borageproxy.platform;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against heartbeats of another writer that stop a VM, or what it does for all servers: a port to which no
 * connection can be opened, a number that hides all later heartbeats, a document that overflows the stack.
 */
class OddHeartbeatTest {

    private static final String HEARTBEAT =
            "{\"Service\":\"s\",\"Address\":\"10.0.0.9:80\",\"Zone\":\"a\",\"Slots\":64,"
                    + "\"State\":\"ready\",\"Sequence\":4,\"born\":1700000000000}";
    /** The stack of the threads of a VM of the platform. */
    private static final long STACK_BYTES = 256 << 10;

    @Test
    void wholeNumbersAreReadInAnyNotation() {
        String other = HEARTBEAT.replace("1700000000000", "1.7e12").replace(":64", ":64.0");
        assertEquals(
                HeartbeatDocument.decode("i-1", Buffer.buffer(HEARTBEAT), 1200),
                HeartbeatDocument.decode("i-1", Buffer.buffer(other), 1200));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:70000", "10.0.0.9:99999999999", "10.0.0.9:", "host:80"})
    void addressToWhichNoConnectionCanBeOpenedNamesNoServer(String address) {
        assertNamesNoServer(HEARTBEAT.replace("10.0.0.9:80", address));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1e300", "1e999", "99999999999999999999999", "-1", "0.5", "\"4\"", "null", "[4]"})
    void numberThatIsNotWholeOrTooLargeNamesNoServer(String number) {
        for (String field : List.of("\"Sequence\":4", "\"born\":1700000000000", "\"Slots\":64")) {
            String name = field.substring(0, field.indexOf(':') + 1);
            assertNamesNoServer(HEARTBEAT.replace(field, name + number));
        }
        assertTrue(HeartbeatDocument.decodeIncarnation(Buffer.buffer("{\"born\":" + number + "}"))
                .isEmpty());
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 900, 100_000})
    void deeplyNestedDocumentsAreMalformed(int depth) throws InterruptedException {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        Thread thread = new Thread(null, () -> assertDeeplyNestedDocumentsAreMalformed(depth), "vm", STACK_BYTES);
        thread.setUncaughtExceptionHandler((failed, exception) -> failure.set(exception));
        thread.start();
        thread.join();
        assertEquals(null, failure.get());
    }

    private static void assertDeeplyNestedDocumentsAreMalformed(int depth) {
        for (String brackets : List.of("[]", "{}")) {
            String open = brackets.startsWith("[") ? "[" : "{\"a\":";
            String value = open.repeat(depth) + "1" + brackets.substring(1).repeat(depth);
            String nested = HEARTBEAT.replace("\"Slots\"", "\"Extra\":" + value + ",\"Slots\"");
            assertNamesNoServer(nested);
            assertTrue(
                    HeartbeatDocument.decodeIncarnation(Buffer.buffer(nested)).isEmpty());
        }
    }

    private static void assertNamesNoServer(String heartbeat) {
        assertTrue(
                HeartbeatDocument.decode("i-1", Buffer.buffer(heartbeat), 1200).isEmpty(),
                heartbeat.substring(0, Math.min(200, heartbeat.length())));
    }
}
