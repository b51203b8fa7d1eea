package org.borageproxy.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import org.borageproxy.publication.Publication;
import org.borageproxy.publication.Repeatability;
import org.borageproxy.publication.ServedPublication;
import org.borageproxy.server.GatewaySettings;
import org.borageproxy.settings.SettingsException;
import org.borageproxy.vm.VmName;
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
}
