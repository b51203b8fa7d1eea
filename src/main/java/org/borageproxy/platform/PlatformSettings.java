package org.borageproxy.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
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

/**
 * The settings file of the platform. Immutable and thread safe.
 *
 * @param gateway the settings of the VM
 * @param heartbeatMillis the time between heartbeats of backend servers, in milliseconds
 */
record PlatformSettings(GatewaySettings gateway, int heartbeatMillis) {

    private static final long DEFAULT_GRACE_MILLIS = 8_000;
    private static final long DEFAULT_TURN_MILLIS = 3_000;
    private static final double DEFAULT_RETRY_SHARE = 0.1;
    private static final int DEFAULT_HEARTBEAT_MILLIS = 1_000;

    /**
     * Reads the file.
     *
     * @param file the file
     * @param metricsPort the port of the metrics; empty for none
     * @return the settings
     * @throws SettingsException if the file cannot be read or lacks a field
     */
    static PlatformSettings read(Path file, OptionalInt metricsPort) throws SettingsException {
        TomlParseResult toml;
        try {
            toml = Toml.parse(file);
        } catch (IOException exception) {
            throw fault(file, 0, "-", "cannot be read: " + exception);
        }
        if (toml.hasErrors()) {
            TomlParseError error = toml.errors().get(0);
            throw fault(file, error.position().line(), "-", String.valueOf(error.getMessage()));
        }
        return new Reader(file, toml).settings(metricsPort);
    }

    private static SettingsException fault(Path file, int line, String key, String expected) {
        return new SettingsException(List.of(new SettingsError(file.toString(), line, key, expected)));
    }

    /** Reads the fields of one file. */
    private record Reader(Path file, TomlParseResult toml) {

        PlatformSettings settings(OptionalInt metricsPort) throws SettingsException {
            String host = text("Ip");
            VmName name = new VmName(host);
            VmAddress vm = new VmAddress(name, new AvailabilityZone(text("Zone")), host, firstInternalPort());
            Optional<Endpoint> metrics = metricsPort.isPresent()
                    ? Optional.of(new Endpoint(host, metricsPort.getAsInt()))
                    : Optional.empty();
            GatewaySettings gateway = new GatewaySettings(
                    vm,
                    text("NodeName"),
                    endpoint("Listen.FrontAddr"),
                    endpoint("Listen.ReadyAddr"),
                    endpoint("Listen.ControlPlane"),
                    metrics,
                    Optional.ofNullable(toml.getString("DataDir"))
                            .filter(folder -> !folder.isEmpty())
                            .map(Path::of),
                    toml.getBoolean("Bootstrap", () -> false),
                    seeds(),
                    bounds());
            return new PlatformSettings(gateway, (int) number("HeartbeatMs", DEFAULT_HEARTBEAT_MILLIS));
        }

        private int firstInternalPort() throws SettingsException {
            TomlArray range = toml.getArray("InternalPortRange");
            if (range == null || range.isEmpty()) {
                throw fault(file, 0, "InternalPortRange", "missing");
            }
            return (int) range.getLong(0);
        }

        private List<VmName> seeds() throws SettingsException {
            TomlArray seeds = toml.getArray("SeedNodes");
            if (seeds == null) {
                throw fault(file, 0, "SeedNodes", "missing");
            }
            return seeds.toList().stream()
                    .map(seed -> new VmName(parse(String.valueOf(seed)).host()))
                    .toList();
        }

        private GatewaySettings.FleetBounds bounds() {
            return new GatewaySettings.FleetBounds(
                    (int) number("FaultTolerance.Machines", 1),
                    (long) (number("Bounds.GraceS", DEFAULT_GRACE_MILLIS / 1e3) * 1e3),
                    number("Bounds.RetryBudgetRatio", DEFAULT_RETRY_SHARE),
                    number("Bounds.RetryBudgetSlack", 0),
                    (long) number("Bounds.LeaseMs", DEFAULT_TURN_MILLIS));
        }

        private Optional<Endpoint> endpoint(String key) {
            return Optional.ofNullable(toml.getString(key)).map(Reader::parse);
        }

        private static Endpoint parse(String address) {
            int colon = address.lastIndexOf(':');
            return new Endpoint(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        }

        private double number(String key, double otherwise) {
            return toml.get(key) instanceof Number value ? value.doubleValue() : otherwise;
        }

        private String text(String key) throws SettingsException {
            String value = toml.getString(key);
            if (value == null || value.isEmpty()) {
                throw fault(file, 0, key, "missing");
            }
            return value;
        }
    }
}
