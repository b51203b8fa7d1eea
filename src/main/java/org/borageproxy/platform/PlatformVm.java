package org.borageproxy.platform;

import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalInt;

import org.borageproxy.server.GatewayProcess;
import org.borageproxy.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A VM of the deployment platform, whose settings file determines the roles of the VM. Thread safe. */
public final class PlatformVm {

    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformVm.class);
    private static final String SETTINGS_FILE_VARIABLE = "BORAGEPROXY_BOOT";

    private final Path file;
    private final OptionalInt metricsPort;
    private volatile Optional<GatewayProcess> process = Optional.empty();

    /**
     * Creates a VM that is not started.
     *
     * @param file the settings file, read on start and on each reload
     * @param metricsPort the port of the metrics endpoint; empty to serve no metrics
     */
    public PlatformVm(Path file, OptionalInt metricsPort) {
        this.file = file;
        this.metricsPort = metricsPort;
    }

    /**
     * Returns the path of the settings file from the environment variable that the platform sets.
     *
     * @return the path, or empty if the variable is not set
     */
    public static Optional<Path> settingsFile() {
        return Optional.ofNullable(System.getenv(SETTINGS_FILE_VARIABLE)).map(Path::of);
    }

    /**
     * Starts the VM. Blocks until all servers listen.
     *
     * @return the running process
     * @throws SettingsException if the settings file is not valid
     * @throws Exception if the durable state cannot be opened or a server cannot start
     */
    public GatewayProcess start() throws Exception {
        PlatformSettings settings = readSettings();
        GatewayProcess startedProcess =
                GatewayProcess.start(settings.gateway(), new PlatformProtocol(settings.heartbeatIntervalMillis()));
        process = Optional.of(startedProcess);
        return startedProcess;
    }

    private PlatformSettings readSettings() throws SettingsException {
        return PlatformSettings.read(file, metricsPort);
    }

    /** Reads the settings file again. If it is not valid, the current settings stay in force. */
    public void reload() {
        if (process.isEmpty()) {
            LOGGER.info("event=settings-reload-skipped reason=\"VM has not started\"");
            return;
        }
        try {
            process.get().reload(readSettings().gateway());
        } catch (SettingsException exception) {
            LOGGER.warn("event=settings-reload-failed reason=\"{}\"", exception.getMessage());
        }
    }
}
