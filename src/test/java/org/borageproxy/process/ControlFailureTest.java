package org.borageproxy.process;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Failures of control VMs, each a process that is killed, frozen or loses its disk. */
class ControlFailureTest {

    private static final String CHAT =
            "{\"model\":\"llama\",\"messages\":[{\"role\":\"user\",\"content\":\"rice\"}],\"max_tokens\":4}";
    private static final String ENTRY_ONLY = "vm-4";

    @TempDir
    private Path folder;

    private final Caller caller = new Caller();

    private HttpResponse<String> chat(FleetProcesses fleet, String vm, String key) {
        FleetProcesses.VmPorts ports = fleet.portsOf(vm);
        try {
            return caller.post(ports.host(), ports.callers(), "/v1/chat/completions", key, CHAT);
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private String started(FleetProcesses fleet) throws Exception {
        StandInFleet.start(fleet, folder, 1);
        fleet.startAll();
        for (String vm : fleet.vms()) {
            awaitReady(fleet, vm);
        }
        StandInFleet.apply(fleet, folder);
        String key = ThinPathTest.field(StandInFleet.createKey(fleet, "district"), "key");
        fleet.await("the entry answers", () -> chat(fleet, ENTRY_ONLY, key).statusCode() == 200);
        return key;
    }

    private void awaitReady(FleetProcesses fleet, String vm) throws InterruptedException {
        FleetProcesses.VmPorts ports = fleet.portsOf(vm);
        fleet.await(vm + " is ready", () -> caller.status(ports.host(), ports.callers(), "/readyz") == 200);
    }

    private static String leader(FleetProcesses fleet) throws Exception {
        String[] leader = new String[1];
        fleet.await("there is a leader", () -> {
            try {
                FleetProcesses.CommandResult result = fleet.operate("members", "list");
                if (result.exitCode() == 0 && result.output().matches("(?s).*\"leader\" : \"vm-.*")) {
                    leader[0] = ThinPathTest.field(result.output(), "leader");
                }
                return leader[0] != null;
            } catch (Exception exception) {
                throw new IllegalStateException(exception);
            }
        });
        return leader[0];
    }

    @Test
    void acceptedChangesSurviveTheLeaderAndThenAllControlVms() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 1)) {
            final String key = started(fleet);
            String second = ThinPathTest.field(StandInFleet.createKey(fleet, "guild"), "key");
            String leader = leader(fleet);
            fleet.kill(leader);
            String third = ThinPathTest.field(StandInFleet.createKey(fleet, "guild"), "key");
            fleet.await(
                    "a change after the kill is in force",
                    () -> chat(fleet, ENTRY_ONLY, third).statusCode() == 200);
            fleet.start(leader);
            for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
                fleet.kill(vm);
            }
            fleet.await(
                    "the entry cannot confirm its configuration",
                    () -> chat(fleet, ENTRY_ONLY, key).statusCode() == 503);
            HttpResponse<String> refusal = chat(fleet, ENTRY_ONLY, key);
            assertEquals(
                    "not-run",
                    refusal.headers().firstValue("borageproxy-outcome").orElse(""));
            assertTrue(refusal.headers().firstValue("retry-after").isPresent());
            for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
                fleet.start(vm);
            }
            for (String created : List.of(key, second, third)) {
                fleet.await(
                        "every key works again",
                        () -> chat(fleet, ENTRY_ONLY, created).statusCode() == 200);
            }
        }
    }

    @Test
    void aFrozenLeaderServesNoWithdrawnKeyWhenItWakes() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 1)) {
            started(fleet);
            String created = StandInFleet.createKey(fleet, "guild");
            String key = ThinPathTest.field(created, "key");
            String leader = leader(fleet);
            fleet.await(
                    "the leader's entry answers", () -> chat(fleet, leader, key).statusCode() == 200);
            fleet.signal(leader, "STOP");
            String identity = ThinPathTest.field(created, "identity");
            fleet.await("the key is withdrawn", () -> {
                try {
                    return fleet.operateWithout(leader, "key", "withdraw", identity)
                                    .exitCode()
                            == 0;
                } catch (Exception exception) {
                    throw new IllegalStateException(exception);
                }
            });
            fleet.await(
                    "others refuse the key", () -> chat(fleet, ENTRY_ONLY, key).statusCode() == 401);
            Thread.sleep(3_000);
            fleet.signal(leader, "CONT");
            for (int request = 0; request < 20; request++) {
                assertNotEquals(200, chat(fleet, leader, key).statusCode());
            }
            fleet.await("the woken VM knows", () -> chat(fleet, leader, key).statusCode() == 401);
        }
    }

    @Test
    void aLostDiskIsRepairedAndTheNextLossCostsNothing() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 1)) {
            String key = started(fleet);
            String lost = "vm-2";
            String lostMember = member(fleet.operate("members", "list").output(), lost);
            fleet.kill(lost);
            delete(fleet.dataFolder(lost));
            assertNotEquals(
                    0,
                    fleet.tryRun("serve", fleet.settingsFile(lost).toString()).exitCode());
            String joined = member(fleet.run("join", fleet.settingsFile(lost).toString()), lost);
            fleet.start(lost);
            for (List<String> step : List.of(
                    List.of("members", "add-learner", joined),
                    List.of("members", "promote", joined),
                    List.of("members", "remove", lostMember))) {
                awaitDone(fleet, step);
            }
            fleet.kill("vm-1");
            String after = ThinPathTest.field(StandInFleet.createKey(fleet, "guild"), "key");
            fleet.await(
                    "a change after the second loss is in force",
                    () -> chat(fleet, ENTRY_ONLY, after).statusCode() == 200);
            assertEquals(200, chat(fleet, ENTRY_ONLY, key).statusCode());
        }
    }

    private static void awaitDone(FleetProcesses fleet, List<String> step) throws InterruptedException {
        fleet.await(String.join(" ", step), () -> {
            try {
                return fleet.operate(step.toArray(String[]::new)).exitCode() == 0;
            } catch (Exception exception) {
                throw new IllegalStateException(exception);
            }
        });
    }

    private static String member(String members, String vm) {
        return ThinPathTest.match(members, "(" + vm + "#[0-9a-f]+)");
    }

    private static void delete(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
