package org.borageproxy.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.borageproxy.server.GatewaySettings;
import org.borageproxy.settings.Endpoint;
import org.borageproxy.settings.SettingsError;
import org.borageproxy.settings.SettingsException;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/**
 * Settings from the TOML file of the deployment platform. Immutable and thread safe.
 *
 * @param gateway the settings of the VM
 * @param heartbeatIntervalMillis the interval between the heartbeats of a backend server, in milliseconds
 */
record PlatformSettings(GatewaySettings gateway, int heartbeatIntervalMillis) {

    private static final long DEFAULT_GRACE_PERIOD_MILLIS = 8_000;
    private static final long DEFAULT_HANDOVER_DELAY_MILLIS = 3_000;
    private static final long DEFAULT_CATCH_UP_MILLIS = 4_000;
    private static final long DEFAULT_PUBLICATION_DELAY_MILLIS = 2_000;
    private static final double DEFAULT_RETRY_RATIO = 0.1;
    private static final double DEFAULT_COLD_OVERAGE = 1.5;
    private static final double DEFAULT_COLD_SLACK = 5;
    private static final int DEFAULT_HEARTBEAT_INTERVAL_MILLIS = 1_000;

    /**
     * Reads a settings file.
     *
     * @param file the TOML file
     * @param metricsPort the port of the metrics endpoint; empty to serve no metrics
     * @return the settings, with defaults for absent optional fields
     * @throws SettingsException if the file cannot be read, is not valid TOML or lacks a required field
     */
    static PlatformSettings read(Path file, OptionalInt metricsPort) throws SettingsException {
        TomlParseResult toml;
        try {
            toml = Toml.parse(file);
        } catch (IOException exception) {
            throw settingsError(file, 0, "-", "cannot be read: " + exception);
        }
        if (toml.hasErrors()) {
            TomlParseError error = toml.errors().get(0);
            throw settingsError(file, error.position().line(), "-", String.valueOf(error.getMessage()));
        }
        return new Reader(file, toml).settings(metricsPort);
    }

    private static SettingsException settingsError(Path file, int line, String key, String message) {
        return new SettingsException(List.of(new SettingsError(file.toString(), line, key, message)));
    }

    /** Converts the fields of one parsed file. */
    private record Reader(Path file, TomlParseResult toml) {

        PlatformSettings settings(OptionalInt metricsPort) throws SettingsException {
            String host = requiredString("Ip");
            VmName name = new VmName(host);
            VmAddress vm = new VmAddress(name, new AvailabilityZone(requiredString("Zone")), host, firstInternalPort());
            Optional<Endpoint> metrics = metricsPort.isPresent()
                    ? Optional.of(new Endpoint(host, metricsPort.getAsInt()))
                    : Optional.empty();
            GatewaySettings gateway = new GatewaySettings(
                    vm,
                    requiredString("NodeName"),
                    optionalEndpoint("Listen.FrontAddr"),
                    optionalEndpoint("Listen.ReadyAddr"),
                    optionalEndpoint("Listen.ControlPlane"),
                    metrics,
                    Optional.ofNullable(toml.getString("DataDir"))
                            .filter(folder -> !folder.isEmpty())
                            .map(Path::of),
                    toml.getBoolean("Bootstrap", () -> false),
                    seeds(),
                    bounds(),
                    zones());
            return new PlatformSettings(
                    gateway, (int) optionalNumber("HeartbeatMs", DEFAULT_HEARTBEAT_INTERVAL_MILLIS));
        }

        private int firstInternalPort() throws SettingsException {
            TomlArray range = toml.getArray("InternalPortRange");
            if (range == null || range.isEmpty()) {
                throw settingsError(file, 0, "InternalPortRange", "missing");
            }
            return (int) range.getLong(0);
        }

        private List<VmName> seeds() throws SettingsException {
            TomlArray seeds = toml.getArray("SeedNodes");
            if (seeds == null) {
                throw settingsError(file, 0, "SeedNodes", "missing");
            }
            return seeds.toList().stream()
                    .map(seed -> new VmName(parseEndpoint(String.valueOf(seed)).host()))
                    .toList();
        }

        private GatewaySettings.FleetBounds bounds() {
            return new GatewaySettings.FleetBounds(
                    (int) optionalNumber("FaultTolerance.Machines", 1),
                    (long) (optionalNumber("Bounds.GraceS", DEFAULT_GRACE_PERIOD_MILLIS / 1e3) * 1e3),
                    optionalNumber("Bounds.RetryBudgetRatio", DEFAULT_RETRY_RATIO),
                    optionalNumber("Bounds.RetryBudgetSlack", 0),
                    (long) optionalNumber("Bounds.LeaseMs", DEFAULT_HANDOVER_DELAY_MILLIS),
                    (long) (optionalNumber("Bounds.CatchUpS", DEFAULT_CATCH_UP_MILLIS / 1e3) * 1e3),
                    (long) optionalNumber("Bounds.ConfigApplyMs", DEFAULT_PUBLICATION_DELAY_MILLIS),
                    optionalNumber("Bounds.ColdOverage", DEFAULT_COLD_OVERAGE),
                    optionalNumber("Bounds.ColdSlack", DEFAULT_COLD_SLACK));
        }

        /** Returns the region of each zone. */
        private Map<AvailabilityZone, String> zones() {
            Map<AvailabilityZone, String> zones = new HashMap<>();
            TomlTable table = toml.getTable("Zones");
            if (table != null) {
                table.toMap().forEach((zone, region) -> zones.put(new AvailabilityZone(zone), String.valueOf(region)));
            }
            return zones;
        }

        private Optional<Endpoint> optionalEndpoint(String key) {
            return Optional.ofNullable(toml.getString(key)).map(Reader::parseEndpoint);
        }

        private static Endpoint parseEndpoint(String address) {
            int colon = address.lastIndexOf(':');
            return new Endpoint(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        }

        private double optionalNumber(String key, double defaultValue) {
            return toml.get(key) instanceof Number value ? value.doubleValue() : defaultValue;
        }

        private String requiredString(String key) throws SettingsException {
            String value = toml.getString(key);
            if (value == null || value.isEmpty()) {
                throw settingsError(file, 0, key, "missing");
            }
            return value;
        }
    }
}
