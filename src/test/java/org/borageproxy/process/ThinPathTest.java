package org.borageproxy.process;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests the path of a request end to end over separate processes: four VMs, three model engines and a plain service.
 * Also guards against a withdrawn key that stays usable and against keys in logs.
 */
class ThinPathTest {

    private static final String CHAT =
            "{\"model\":\"llama\",\"messages\":[{\"role\":\"user\",\"content\":\"rice\"}],\"max_tokens\":8}";
    private static final Duration WITHDRAWAL_BOUND = Duration.ofSeconds(3);

    @TempDir
    private Path folder;

    private final Caller caller = new Caller();

    @Test
    void requestsAreServedEndToEndAndWithdrawnKeyIsRefused() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 1)) {
            StandInFleet.start(fleet, folder, 3);
            fleet.startAll();
            awaitReady(fleet);
            StandInFleet.applyTree(fleet, folder);
            String created = StandInFleet.createKey(fleet, "district");
            String key = stringField(created, "key");
            for (String vm : fleet.vms()) {
                assertServes(fleet, vm, key);
            }
            assertEquals(
                    0,
                    fleet.runOperatorCommand("key", "withdraw", stringField(created, "identity"))
                            .exitCode());
            long withdrawnAt = System.nanoTime();
            for (String vm : fleet.vms()) {
                fleet.await(
                        "the withdrawn key is refused by " + vm,
                        () -> chat(fleet, vm, key).statusCode() == 401);
            }
            assertTrue(System.nanoTime() - withdrawnAt < WITHDRAWAL_BOUND.toNanos());
            assertLogsContainNoKey(fleet, key);
        }
    }

    private void awaitReady(FleetProcesses fleet) throws InterruptedException {
        for (String vm : fleet.vms()) {
            FleetProcesses.VmPorts ports = fleet.portsOf(vm);
            fleet.await(
                    vm + " is ready", () -> caller.statusOrZero(ports.host(), ports.callerPort(), "/readyz") == 200);
        }
    }

    private void assertServes(FleetProcesses fleet, String vm, String key) throws Exception {
        fleet.await(vm + " serves requests", () -> chat(fleet, vm, key).statusCode() == 200);
        FleetProcesses.VmPorts ports = fleet.portsOf(vm);
        String streamed = CHAT.replace("\"max_tokens\"", "\"stream\":true,\"max_tokens\"");
        HttpResponse<String> stream =
                caller.post(ports.host(), ports.callerPort(), "/v1/chat/completions", key, streamed);
        assertEquals(200, stream.statusCode(), stream.body());
        assertTrue(stream.body().strip().endsWith("data: [DONE]"), stream.body());
        assertEquals(
                401,
                caller.post(ports.host(), ports.callerPort(), "/v1/chat/completions", "", CHAT)
                        .statusCode());
        HttpResponse<String> stock = caller.get(ports.host(), ports.callerPort(), "/stock/7", key);
        assertEquals(200, stock.statusCode(), stock.body());
    }

    private HttpResponse<String> chat(FleetProcesses fleet, String vm, String key) {
        FleetProcesses.VmPorts ports = fleet.portsOf(vm);
        try {
            return caller.post(ports.host(), ports.callerPort(), "/v1/chat/completions", key, CHAT);
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static void assertLogsContainNoKey(FleetProcesses fleet, String key) throws IOException {
        for (String vm : fleet.vms()) {
            assertFalse(Files.readString(fleet.logFile(vm)).contains(key));
        }
    }

    static String stringField(String json, String name) {
        return firstGroup(json, "\"" + name + "\"\\s*:\\s*\"([^\"]+)\"");
    }

    static String firstGroup(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        assertTrue(matcher.find(), text);
        return matcher.group(1);
    }
}
