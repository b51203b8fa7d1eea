package org.borageproxy.command;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalInt;

import org.borageproxy.platform.PlatformRehearsal;
import org.borageproxy.platform.PlatformVm;
import org.borageproxy.server.GatewayProcess;
import org.borageproxy.settings.SettingsException;
import org.kohsuke.args4j.Option;
import sun.misc.Signal;

/**
 * Runs a VM on the platform until the process is asked to stop. A hang-up signal reloads the settings file. Not thread
 * safe.
 */
final class PlatformCommand implements Command {

    private static final String RELOAD_SIGNAL = "HUP";

    @Option(name = "--metrics-port", metaVar = "PORT", usage = "port of the metrics; not served if absent")
    private int metricsPort;

    @Option(name = "--settings", metaVar = "FILE", usage = "settings file; if absent, the one named by the environment")
    private String settingsFile;

    @Option(
            name = "--rehearse",
            usage = "run a VM on loopback ports through some requests and exit; the build records its classes")
    private boolean rehearse;

    @Override
    public ExitCode run(PrintStream output) throws Exception {
        if (rehearse) {
            new PlatformRehearsal().run(Files.createTempDirectory("borageproxy-rehearsal"));
            return ExitCode.DONE;
        }
        Path file = Optional.ofNullable(settingsFile)
                .map(Path::of)
                .or(PlatformVm::settingsFile)
                .orElseThrow(() -> new CommandFailure(
                        ExitCode.INVALID,
                        "no settings file is specified, neither by --settings nor by the environment"));
        PlatformVm vm = new PlatformVm(file, metricsPort == 0 ? OptionalInt.empty() : OptionalInt.of(metricsPort));
        Signal.handle(new Signal(RELOAD_SIGNAL), signal -> vm.reload());
        GatewayProcess process;
        try {
            process = vm.start();
        } catch (SettingsException exception) {
            throw new CommandFailure(ExitCode.INVALID, exception.getMessage());
        }
        Thread hook = new Thread(() -> LogFlush.flushAfter(process.shutDown()), "stop");
        Runtime.getRuntime().addShutdownHook(hook);
        process.stopped().toCompletableFuture().join();
        return ExitCode.DONE;
    }
}
