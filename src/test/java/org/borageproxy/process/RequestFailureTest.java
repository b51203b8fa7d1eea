package org.borageproxy.process;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests failures of backend servers and entry VMs, each a separate process, while requests run. Streams have to
 * continue or finish, a claimed request runs at most once, and a request that crashes engines is quarantined.
 */
class RequestFailureTest {

    private static final String CRASH_MARKER = "poison-requisition";
    private static final String WARM_UP =
            "{\"model\":\"llama\",\"messages\":[{\"role\":\"user\",\"content\":\"warm\"}],\"max_tokens\":1}";
    private static final int STREAM_COUNT = 8;

    @TempDir
    private Path folder;

    private final Caller caller = new Caller();
    private final ExecutorService callers = Executors.newFixedThreadPool(STREAM_COUNT);

    @AfterEach
    void stopCallers() {
        callers.shutdownNow();
    }

    private static String chat(String content, boolean stream) {
        return "{\"model\":\"llama\",\"stream\":" + stream + ",\"max_tokens\":40,\"messages\":"
                + "[{\"role\":\"user\",\"content\":\"" + content + "\"}]}";
    }

    private HttpResponse<String> send(FleetProcesses fleet, String vm, String key, String body) {
        return post(fleet, vm, "/v1/chat/completions", key, body);
    }

    private HttpResponse<String> post(
            FleetProcesses fleet, String vm, String path, String key, String body, String... headers) {
        FleetProcesses.VmPorts ports = fleet.portsOf(vm);
        try {
            return caller.post(ports.host(), ports.callerPort(), path, key, body, headers);
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private String stream(FleetProcesses fleet, String vm, String key, String content) {
        FleetProcesses.VmPorts ports = fleet.portsOf(vm);
        try {
            return caller.stream(ports.host(), ports.callerPort(), "/v1/chat/completions", key, chat(content, true));
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private String startFleet(FleetProcesses fleet) throws Exception {
        fleet.startAll();
        for (String vm : fleet.vms()) {
            FleetProcesses.VmPorts ports = fleet.portsOf(vm);
            fleet.await(
                    vm + " is ready", () -> caller.statusOrZero(ports.host(), ports.callerPort(), "/readyz") == 200);
        }
        StandInFleet.applyTree(fleet, folder);
        String key = ThinPathTest.stringField(StandInFleet.createKey(fleet, "district"), "key");
        for (String vm : fleet.vms()) {
            fleet.await(
                    vm + " serves model requests",
                    () -> send(fleet, vm, key, chat("warm", false)).statusCode() == 200);
            fleet.await(
                    vm + " serves requests to the plain service",
                    () -> post(fleet, vm, "/stock/warm", key, "").statusCode() == 200);
        }
        return key;
    }

    private void setFaults(StandInFleet.Address address, String faults) throws Exception {
        assertEquals(
                200,
                caller.post(address.host(), address.port(), "/faults", "", faults)
                        .statusCode());
    }

    private int totalRuns(StandInFleet.Address address) throws Exception {
        String counters =
                caller.get(address.host(), address.port(), "/counters", "").body();
        Matcher runs = Pattern.compile("\"runs\"\\s*:\\s*\\{([^}]*)}").matcher(counters);
        assertTrue(runs.find(), counters);
        Matcher count = Pattern.compile(":\\s*(\\d+)").matcher(runs.group(1));
        int total = 0;
        while (count.find()) {
            total += Integer.parseInt(count.group(1));
        }
        return total;
    }

    private static String joinContent(String stream) {
        return Pattern.compile("\"content\"\\s*:\\s*\"([^\"]*)\"")
                .matcher(stream)
                .results()
                .map(result -> result.group(1))
                .collect(Collectors.joining());
    }

    @Test
    void streamsContinueWithoutLostOrDuplicateTokensWhenEngineIsKilled() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(folder, 1, 1)) {
            StandInFleet.start(fleet, folder, 3, "--token-millis", "50", "--output-tokens", "40");
            String key = startFleet(fleet);
            String whole = joinContent(
                    send(fleet, "vm-1", key, chat("pick list", true)).body());
            List<CompletableFuture<String>> streams = new ArrayList<>();
            for (int stream = 0; stream < STREAM_COUNT; stream++) {
                String vm = fleet.vms().get(stream % 2);
                streams.add(CompletableFuture.supplyAsync(() -> stream(fleet, vm, key, "pick list"), callers));
            }
            // Each stream takes 2 s (40 tokens at 50 ms), so that the engine is killed in the middle of it.
            Thread.sleep(700);
            fleet.kill("engine-1");
            for (CompletableFuture<String> stream : streams) {
                assertEquals(whole, joinContent(stream.get()), () -> stream.join() + fleet.logTails());
                assertTrue(stream.get().strip().endsWith("data: [DONE]"), stream.get());
            }
        }
    }

    @Test
    void requestWithIdempotencyKeyRunsOnceWhenEntryVmFailsAndCallerRetries() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 1)) {
            Map<String, StandInFleet.Address> addresses = StandInFleet.start(fleet, folder, 1);
            String key = startFleet(fleet);
            int before = totalRuns(addresses.get("stock"));
            String[] claim = {"idempotency-key", "order-17"};
            setFaults(addresses.get("stock"), "{\"late_millis\":4000}");
            CompletableFuture<Object> first = CompletableFuture.supplyAsync(
                            () -> (Object) post(fleet, "vm-4", "/stock/orders", key, "{\"grain\":1}", claim), callers)
                    .exceptionally(failure -> failure);
            fleet.await("the request ran on the service", () -> {
                try {
                    return totalRuns(addresses.get("stock")) == before + 1;
                } catch (Exception exception) {
                    throw new IllegalStateException(exception);
                }
            });
            fleet.kill("vm-4");
            assertTrue(first.get() instanceof Throwable);
            setFaults(addresses.get("stock"), "{}");
            for (int attempt = 0; attempt < 10; attempt++) {
                String vm = "vm-" + (1 + attempt % 3);
                HttpResponse<String> again = post(fleet, vm, "/stock/orders", key, "{\"grain\":1}", claim);
                assertEquals(409, again.statusCode(), again.body());
            }
            // 2008: the idempotency key was used with another request body.
            HttpResponse<String> other = post(fleet, "vm-1", "/stock/orders", key, "{\"grain\":2}", claim);
            assertEquals("2008", ThinPathTest.firstGroup(other.body(), "\"code\"\\s*:\\s*(\\d+)"));
            assertEquals(before + 1, totalRuns(addresses.get("stock")));
        }
    }

    @Test
    void crashingRequestStopsAtMostTwoEnginesAndIsQuarantinedOnAllVms() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 1)) {
            Map<String, StandInFleet.Address> addresses = StandInFleet.start(fleet, folder, 4);
            String key = startFleet(fleet);
            for (int engine = 1; engine <= 4; engine++) {
                setFaults(
                        addresses.get("engine-" + engine),
                        "{\"crash_marker\":\"" + CRASH_MARKER + "\",\"crash_exits\":true}");
            }
            List<Integer> statuses = new ArrayList<>();
            for (int attempt = 0; attempt < 8; attempt++) {
                String vm = fleet.vms().get(attempt % 4);
                statuses.add(send(fleet, vm, key, chat(CRASH_MARKER, false)).statusCode());
            }
            assertEquals(422, statuses.get(statuses.size() - 1), statuses.toString());
            long alive = addresses.keySet().stream()
                    .filter(name -> name.startsWith("engine"))
                    .filter(fleet::isAlive)
                    .count();
            assertTrue(alive >= 2, "running engines: " + alive + " " + statuses);
            for (String vm : fleet.vms()) {
                assertEquals(200, send(fleet, vm, key, chat("innocent", false)).statusCode());
                fleet.await(
                        vm + " quarantines the request",
                        () -> send(fleet, vm, key, chat(CRASH_MARKER, false)).statusCode() == 422);
            }
        }
    }

    @Test
    void gracefulShutdownAbortsNoStreamWhenSignalledTwice() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 0)) {
            StandInFleet.start(fleet, folder, 2, "--token-millis", "50", "--output-tokens", "40");
            String key = startFleet(fleet);
            List<CompletableFuture<String>> streams = new ArrayList<>();
            for (int stream = 0; stream < STREAM_COUNT; stream++) {
                streams.add(CompletableFuture.supplyAsync(
                        () -> send(fleet, "vm-1", key, chat("route notes", true))
                                .body(),
                        callers));
            }
            Thread.sleep(600);
            fleet.signal("vm-1", "TERM");
            fleet.await(
                    "vm-1 is no longer ready",
                    () -> caller.statusOrZero(
                                    fleet.portsOf("vm-1").host(),
                                    fleet.portsOf("vm-1").callerPort(),
                                    "/readyz")
                            != 200);
            fleet.signal("vm-1", "TERM");
            for (CompletableFuture<String> stream : streams) {
                assertTrue(stream.get().strip().endsWith("data: [DONE]"), stream.get());
            }
            fleet.terminate("vm-1");
            assertEquals(200, send(fleet, "vm-2", key, chat("after", false)).statusCode());
        }
    }
}
