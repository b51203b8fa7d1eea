package org.borageproxy.platform;

import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalInt;

import org.borageproxy.server.GatewayProcess;
import org.borageproxy.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A VM on the platform. Its roles follow from the platform's settings file. Safe for use by any thread. */
public final class PlatformVm {

    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformVm.class);
    /** The environment variable that holds the path of the settings file. */
    private static final String PATH_VARIABLE = "BORAGEPROXY_BOOT";

    private final Path file;
    private final OptionalInt metricsPort;
    private volatile Optional<GatewayProcess> process = Optional.empty();

    /**
     * Creates a VM that is not started.
     *
     * @param file the settings file
     * @param metricsPort the port of the metrics; empty for none
     */
    public PlatformVm(Path file, OptionalInt metricsPort) {
        this.file = file;
        this.metricsPort = metricsPort;
    }

    /**
     * Returns the settings file that the platform names.
     *
     * @return empty if it names none
     */
    public static Optional<Path> settingsFile() {
        return Optional.ofNullable(System.getenv(PATH_VARIABLE)).map(Path::of);
    }

    /**
     * Starts the VM.
     *
     * @return the running process
     * @throws SettingsException if the settings file is not valid
     * @throws Exception if a part cannot start
     */
    public GatewayProcess start() throws Exception {
        PlatformSettings settings = read();
        GatewayProcess started =
                GatewayProcess.start(settings.gateway(), new PlatformProtocol(settings.heartbeatMillis()));
        process = Optional.of(started);
        return started;
    }

    private PlatformSettings read() throws SettingsException {
        return PlatformSettings.read(file, metricsPort);
    }

    /** Reads the settings again; a file that cannot be read leaves them as they are. */
    public void reload() {
        if (process.isEmpty()) {
            LOGGER.info("event=settings-reload-skipped reason=\"not started yet\"");
            return;
        }
        try {
            process.get().reload(read().gateway());
        } catch (SettingsException exception) {
            LOGGER.warn("event=settings-reload-failed reason=\"{}\"", exception.getMessage());
        }
    }
}
