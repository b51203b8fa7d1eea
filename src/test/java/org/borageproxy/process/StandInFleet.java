package org.borageproxy.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** The simulated backend servers and the settings tree of the process tests. Stateless. */
final class StandInFleet {

    static final String TREE = """
            [settings]
            rate_tokens_per_second = 100_000
            burst_tokens = 200_000
            timeout_millis = 20_000
            maximum_output_tokens = 64
            memory_bytes = 16_000_000_000

            [workspaces.district]
            priority = 1

            [workspaces.guild]

            [models.llama]
            versions = { "1" = 1 }

            [models.swatch]
            versions = { "1" = 1 }

            [routes.stock]
            path_prefix = "/stock"
            service = "stock"
            repeatable = false
            token_cost = 1
            """;

    private StandInFleet() {}

    /** The address that a simulated backend server listens on. */
    record Address(String host, int port) {}

    /** Starts engines with the model "llama" and the plain service "stock"; returns their addresses by name. */
    static Map<String, Address> start(FleetProcesses fleet, Path folder, int engines, String... engineOptions)
            throws IOException {
        Map<String, Address> addresses = new LinkedHashMap<>();
        for (int number = 1; number <= engines; number++) {
            String name = "engine-" + number;
            List<String> arguments = new ArrayList<>(List.of("engine", "--name", name));
            arguments.addAll(List.of("--zone", "zone-" + (char) ('a' + number % 3), "--model", "llama/1"));
            arguments.addAll(List.of(engineOptions));
            addresses.put(name, address("127.0.0." + (30 + number)));
            arguments.addAll(commonArguments(fleet, folder, addresses.get(name)));
            fleet.startStandIn(name, arguments.toArray(String[]::new));
        }
        List<String> service = new ArrayList<>(List.of("service", "--name", "stock"));
        addresses.put("stock", address("127.0.0.30"));
        service.addAll(commonArguments(fleet, folder, addresses.get("stock")));
        fleet.startStandIn("stock", service.toArray(String[]::new));
        return addresses;
    }

    private static Address address(String host) throws IOException {
        return new Address(host, FleetProcesses.findFreePort(host));
    }

    private static List<String> commonArguments(FleetProcesses fleet, Path folder, Address address) {
        List<String> arguments = new ArrayList<>();
        arguments.addAll(List.of("--listen", address.host() + ":" + address.port()));
        arguments.addAll(
                List.of("--credential", folder.resolve("secrets/announcer").toString()));
        for (String vm : fleet.vms()) {
            FleetProcesses.VmPorts ports = fleet.portsOf(vm);
            arguments.addAll(List.of("--announce", ports.host() + ":" + ports.announcementPort()));
        }
        return arguments;
    }

    static void applyTree(FleetProcesses fleet, Path folder) throws Exception {
        Path tree = folder.resolve("tree.toml");
        Files.writeString(tree, TREE);
        FleetProcesses.CommandResult result = fleet.runOperatorCommand("apply", tree.toString(), "--wait", "10000");
        assertEquals(0, result.exitCode(), result.output() + fleet.logTails());
    }

    static String createKey(FleetProcesses fleet, String workspace) throws Exception {
        FleetProcesses.CommandResult result = fleet.runOperatorCommand("key", "create", workspace);
        assertEquals(0, result.exitCode(), result.output() + fleet.logTails());
        return result.output();
    }
}
