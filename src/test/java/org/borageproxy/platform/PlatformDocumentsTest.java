package org.borageproxy.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.Repeatability;
import org.borageproxy.publication.ServedPublication;
import org.borageproxy.server.GatewaySettings;
import org.borageproxy.settings.SettingsException;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;
import org.borageproxy.warmup.WarmUpRules;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PlatformDocumentsTest {

    private static final String ROUTE = "{\"Name\":\"r\",\"Host\":\"Shop.example\",\"PathPrefix\":\"/a/\","
            + "\"Type\":\"streaming\","
            + "\"Resumable\":true,\"TimeoutMs\":5000,\"TargetLatencyMs\":1200,\"Priority\":1,\"MaxAttempts\":2,"
            + "\"TrafficSplit\":[{\"Service\":\"s\",\"Weight\":90},{\"Service\":\"t\",\"Weight\":10}]}";
    private static final String SERVICES = "\"Services\":[{\"Name\":\"s\",\"MaxConnections\":370,"
            + "\"Engine\":{\"Slots\":64,"
            + "\"KvCapacityTokens\":1000,\"Stride\":2,\"WeightsMb\":220000.0,\"AdapterSlots\":5,\"LoadsPerS\":2.1,"
            + "\"Models\":[{\"Name\":\"m\",\"WeightsMb\":65099.9,\"LoadS\":9.0,\"DiskS\":2.0,\"WarmS\":0.8,"
            + "\"AdapterSizeMb\":12.0}]}},{\"Name\":\"t\",\"MaxConnections\":110}]";

    private static Publication decode(String json) {
        return PublicationDocument.decode(json.getBytes(StandardCharsets.UTF_8));
    }

    private static String document(String routes, String tenants) {
        return "{\"Version\":7,\"Routes\":[" + routes + "]," + SERVICES + ",\"Tenants\":[" + tenants + "]}";
    }

    @Test
    void validPublicationIsDecoded() {
        Publication publication = decode(
                document(ROUTE, "{\"Name\":\"w\",\"ApiKeys\":[\"k\"],\"Priority\":1,\"RatePerS\":10,\"Burst\":20}"));
        assertTrue(publication.errors().isEmpty());
        assertEquals(7, publication.number());
        assertEquals(Repeatability.RESUMABLE_STREAM, publication.routes().get(0).repeatability());
        assertEquals(5, publication.enginePool("s").orElseThrow().adapterSlots());
        assertTrue(publication.enginePool("t").isEmpty());
        ServedPublication served = new ServedPublication(publication);
        assertTrue(served.route("shop.example", "/a/b").isPresent());
        assertTrue(served.route("shop.example", "/b/").isEmpty());
        assertEquals("w", served.workspaceOf("k").orElseThrow().name());
    }

    @Test
    void invalidPublicationsReportErrors() {
        assertFalse(decode(document(ROUTE + "," + ROUTE, "")).errors().isEmpty());
        assertFalse(decode(document(ROUTE.replace(":90", ":0").replace(":10}", ":0}"), ""))
                .errors()
                .isEmpty());
        assertFalse(decode(document(ROUTE.replace("5000", "0"), "")).errors().isEmpty());
        assertFalse(decode(document(ROUTE.replace("\"t\"", "\"unknown\""), ""))
                .errors()
                .isEmpty());
        String shared = "{\"Name\":\"w\",\"ApiKeys\":[\"k\"]},{\"Name\":\"v\",\"ApiKeys\":[\"k\"]}";
        assertFalse(decode(document(ROUTE, shared)).errors().isEmpty());
    }

    @Test
    void truncatedOrUnversionedDocumentIsRejected() {
        String whole = document(ROUTE, "");
        assertThrows(IllegalArgumentException.class, () -> decode(whole.substring(0, whole.length() - 3)));
        assertThrows(IllegalArgumentException.class, () -> decode(whole.replace("\"Version\":7,", "")));
        for (String version : List.of("1e999", "7.5", "99999999999999999999")) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> decode(whole.replace("\"Version\":7", "\"Version\":" + version)));
        }
        assertThrows(IllegalArgumentException.class, () -> decode("{\"Version\":8}"));
    }

    private static final String HEARTBEAT =
            "{\"Service\":\"s\",\"Address\":\"10.0.0.9:80\",\"Zone\":\"a\",\"Slots\":64,"
                    + "\"State\":\"draining\",\"Sequence\":4,\"born\":1700000000000,"
                    + "\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[\"a1\"]}],"
                    + "\"Available\":{\"InMemory\":[\"m\"],\"OnDisk\":[\"m\",\"n\"]}}";

    @Test
    void validHeartbeatIsDecodedAndMalformedOnesAreIgnored() {
        HeartbeatDocument.Heartbeat heartbeat =
                HeartbeatDocument.decode("i-1", Buffer.buffer(HEARTBEAT), 1200).orElseThrow();
        assertTrue(heartbeat.isLeaving());
        assertEquals(1_700_000_000_000L, heartbeat.announcement().incarnation());
        assertEquals(
                Set.of("m", "n"),
                heartbeat.announcement().content().localWeights().onDisk());
        for (String malformed : List.of(
                HEARTBEAT.replace("\"draining\"", "\"asleep\""),
                HEARTBEAT.replace("\"Sequence\":4,", ""),
                HEARTBEAT.replace(":64", ":\"many\""),
                HEARTBEAT.replace("10.0.0.9:80", "nowhere"),
                "\u0000\u0001")) {
            assertTrue(
                    HeartbeatDocument.decode("i-1", Buffer.buffer(malformed), 1200)
                            .isEmpty(),
                    malformed);
        }
    }

    @Test
    void settingsAreReadAndMissingKeyErrorNamesFileAndKey(@TempDir Path folder) throws Exception {
        String whole = "NodeName = \"core-1\"\nIp = \"10.1.0.28\"\nZone = \"a\"\nInternalPortRange = [7600,7615]\n"
                + "SeedNodes = [\"10.1.0.28:8229\",\"10.2.0.1:8229\"]\nBootstrap = true\nDataDir = \"/data\"\n"
                + "[Listen]\nControlPlane = \"10.1.0.28:8229\"\n[FaultTolerance]\nMachines = 2\n[Bounds]\nGraceS = 8\n";
        GatewaySettings settings = PlatformSettings.read(write(folder, whole), OptionalInt.of(7601))
                .gateway();
        assertEquals(5, settings.bounds().targetVoterCount());
        assertEquals(List.of(new VmName("10.1.0.28"), new VmName("10.2.0.1")), settings.seeds());
        assertTrue(settings.isFirstStart() && settings.callerEndpoint().isEmpty());
        Path faulty = write(folder, whole.replace("Zone = \"a\"\n", ""));
        SettingsException fault =
                assertThrows(SettingsException.class, () -> PlatformSettings.read(faulty, OptionalInt.empty()));
        assertTrue(fault.getMessage().contains(faulty.toString())
                && fault.getMessage().contains("Zone"));
        assertThrows(SettingsException.class, () -> PlatformSettings.read(folder.resolve("none"), OptionalInt.empty()));
    }

    private static Path write(Path folder, String text) throws IOException {
        return Files.writeString(folder.resolve("boot.toml"), text);
    }

    /** Guards against limits of cold servers and regions that are published and not applied. */
    @Test
    void warmUpAndRegionsAreDecoded() {
        String services = SERVICES.replace("\"MaxConnections\":110", "\"ColdPerS\":4.5,\"ColdStartS\":12");
        Publication publication = decode(document(
                        ROUTE.replace("\"Priority\":1", "\"AllowedRegions\":[\"r\",\"q\"]"),
                        "{\"Name\":\"w\",\"AllowedRegions\":[\"q\"]}")
                .replace(SERVICES, services));
        assertEquals(new WarmUpRules(Duration.ofSeconds(12), OptionalDouble.of(4.5)), publication.warmUp("t"));
        assertEquals(WarmUpRules.NONE, publication.warmUp("s"));
        assertEquals(Set.of("r", "q"), publication.routes().get(0).allowedRegions());
        assertEquals(Set.of("q"), publication.workspaces().get("w").allowedRegions());
    }

    /** Guards against a server that states to be warm and is taken for one that states nothing. */
    @Test
    void coldTimeOfHeartbeatsIsDecoded() {
        String heartbeat = "{\"Service\":\"s\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"a\",\"Slots\":4,"
                + "\"State\":\"ready\",\"Sequence\":1,\"born\":5";
        assertEquals(OptionalLong.empty(), coldMillis(heartbeat + "}"));
        assertEquals(OptionalLong.of(0), coldMillis(heartbeat + ",\"ColdRemainingMs\":0}"));
        assertEquals(OptionalLong.of(2_500), coldMillis(heartbeat + ",\"ColdRemainingMs\":2500.7}"));
        assertEquals(OptionalLong.of(0), coldMillis(heartbeat + ",\"ColdRemainingMs\":-3}"));
    }

    private static OptionalLong coldMillis(String heartbeat) {
        return HeartbeatDocument.decode("n", Buffer.buffer(heartbeat), 300)
                .orElseThrow()
                .announcement()
                .load()
                .coldMillis();
    }

    /** Guards against zones that a drain cannot name, and against bounds that are not read. */
    @Test
    void zonesAndBoundsOfColdServersAreRead(@TempDir Path folder) throws Exception {
        String text = "NodeName = \"n\"\nIp = \"127.0.0.1\"\nZone = \"z-1\"\nInternalPortRange = [1, 2]\n"
                + "SeedNodes = [\"127.0.0.2:3\"]\n[Zones]\nz-1 = \"r\"\n\"z.2\" = \"q\"\n"
                + "[Bounds]\nColdOverage = 2.0\nColdSlack = 7\n";
        GatewaySettings settings =
                PlatformSettings.read(write(folder, text), OptionalInt.empty()).gateway();
        assertEquals(Map.of(new AvailabilityZone("z-1"), "r", new AvailabilityZone("z.2"), "q"), settings.zones());
        assertEquals(2.0, settings.bounds().coldOverage());
        assertEquals(7.0, settings.bounds().coldSlack());
    }
}
