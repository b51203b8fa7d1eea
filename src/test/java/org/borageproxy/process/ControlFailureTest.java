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

/**
 * Tests failures of control VMs in a fleet of processes: killed and frozen processes and a lost disk. Accepted changes
 * have to survive, withdrawn keys have to stay refused, and an entry VM without a confirmed configuration refuses
 * requests.
 */
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
            return caller.post(ports.host(), ports.callerPort(), "/v1/chat/completions", key, CHAT);
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private String startFleet(FleetProcesses fleet) throws Exception {
        StandInFleet.start(fleet, folder, 1);
        fleet.startAll();
        for (String vm : fleet.vms()) {
            awaitReady(fleet, vm);
        }
        StandInFleet.applyTree(fleet, folder);
        String key = ThinPathTest.stringField(StandInFleet.createKey(fleet, "district"), "key");
        fleet.await(
                "the entry VM serves requests",
                () -> chat(fleet, ENTRY_ONLY, key).statusCode() == 200);
        return key;
    }

    private void awaitReady(FleetProcesses fleet, String vm) throws InterruptedException {
        FleetProcesses.VmPorts ports = fleet.portsOf(vm);
        fleet.await(vm + " is ready", () -> caller.statusOrZero(ports.host(), ports.callerPort(), "/readyz") == 200);
    }

    private static String awaitLeader(FleetProcesses fleet) throws Exception {
        String[] leader = new String[1];
        fleet.await("a leader is elected", () -> {
            try {
                FleetProcesses.CommandResult result = fleet.runOperatorCommand("members", "list");
                if (result.exitCode() == 0 && result.output().matches("(?s).*\"leader\" : \"vm-.*")) {
                    leader[0] = ThinPathTest.stringField(result.output(), "leader");
                }
                return leader[0] != null;
            } catch (Exception exception) {
                throw new IllegalStateException(exception);
            }
        });
        return leader[0];
    }

    @Test
    void acceptedKeysSurviveLeaderFailureAndRestartOfAllControlVms() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 1)) {
            final String key = startFleet(fleet);
            String second = ThinPathTest.stringField(StandInFleet.createKey(fleet, "guild"), "key");
            String leader = awaitLeader(fleet);
            fleet.kill(leader);
            String third = ThinPathTest.stringField(StandInFleet.createKey(fleet, "guild"), "key");
            fleet.await(
                    "a key created after the kill is accepted",
                    () -> chat(fleet, ENTRY_ONLY, third).statusCode() == 200);
            fleet.start(leader);
            for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
                fleet.kill(vm);
            }
            fleet.await(
                    "the entry VM refuses requests without a confirmed configuration",
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
                        "every accepted key is served after the restart",
                        () -> chat(fleet, ENTRY_ONLY, created).statusCode() == 200);
            }
        }
    }

    @Test
    void resumedLeaderDoesNotServeKeyWithdrawnDuringSuspension() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 1)) {
            startFleet(fleet);
            String created = StandInFleet.createKey(fleet, "guild");
            String key = ThinPathTest.stringField(created, "key");
            String leader = awaitLeader(fleet);
            fleet.await(
                    "the leader serves requests", () -> chat(fleet, leader, key).statusCode() == 200);
            fleet.signal(leader, "STOP");
            String identity = ThinPathTest.stringField(created, "identity");
            fleet.await("the key is withdrawn", () -> {
                try {
                    return fleet.runOperatorCommandExcept(leader, "key", "withdraw", identity)
                                    .exitCode()
                            == 0;
                } catch (Exception exception) {
                    throw new IllegalStateException(exception);
                }
            });
            fleet.await(
                    "another VM refuses the withdrawn key",
                    () -> chat(fleet, ENTRY_ONLY, key).statusCode() == 401);
            Thread.sleep(3_000);
            fleet.signal(leader, "CONT");
            for (int request = 0; request < 20; request++) {
                assertNotEquals(200, chat(fleet, leader, key).statusCode());
            }
            fleet.await(
                    "the resumed VM refuses the withdrawn key",
                    () -> chat(fleet, leader, key).statusCode() == 401);
        }
    }

    @Test
    void controlVmWithLostDiskRejoinsAndClusterToleratesNextFailure() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 1)) {
            String key = startFleet(fleet);
            String lost = "vm-2";
            String lostMember =
                    memberIdentity(fleet.runOperatorCommand("members", "list").output(), lost);
            fleet.kill(lost);
            delete(fleet.dataFolder(lost));
            assertNotEquals(
                    0,
                    fleet.runForResult("serve", fleet.settingsFile(lost).toString())
                            .exitCode());
            String joined =
                    memberIdentity(fleet.run("join", fleet.settingsFile(lost).toString()), lost);
            fleet.start(lost);
            for (List<String> step : List.of(
                    List.of("members", "add-learner", joined),
                    List.of("members", "promote", lost),
                    List.of("members", "remove", lostMember))) {
                awaitSuccess(fleet, step);
            }
            fleet.kill("vm-1");
            String after = ThinPathTest.stringField(StandInFleet.createKey(fleet, "guild"), "key");
            fleet.await(
                    "a key created after the second loss is accepted",
                    () -> chat(fleet, ENTRY_ONLY, after).statusCode() == 200);
            assertEquals(200, chat(fleet, ENTRY_ONLY, key).statusCode());
        }
    }

    private static void awaitSuccess(FleetProcesses fleet, List<String> step) throws InterruptedException {
        fleet.await(String.join(" ", step), () -> {
            try {
                return fleet.runOperatorCommand(step.toArray(String[]::new)).exitCode() == 0;
            } catch (Exception exception) {
                throw new IllegalStateException(exception);
            }
        });
    }

    private static String memberIdentity(String members, String vm) {
        return ThinPathTest.firstGroup(members, "(" + vm + "#[0-9a-f]+)");
    }

    private static void delete(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
