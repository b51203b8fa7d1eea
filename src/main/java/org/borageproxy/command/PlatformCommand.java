package org.borageproxy.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalInt;

import org.borageproxy.platform.PlatformVm;
import org.borageproxy.server.GatewayProcess;
import org.borageproxy.settings.SettingsException;
import org.kohsuke.args4j.Option;
import sun.misc.Signal;

/** Runs a VM on the platform until it is told to stop. Used by one thread. */
final class PlatformCommand implements Command {

    private static final String HANG_UP = "HUP";

    @Option(name = "--metrics-port", metaVar = "PORT", usage = "the port of the metrics; none if left out")
    private int metricsPort;

    @Option(name = "--settings", metaVar = "FILE", usage = "the settings file, if the environment names none")
    private String settingsFile;

    @Override
    public ExitCode run(PrintStream output) throws Exception {
        Path file = Optional.ofNullable(settingsFile)
                .map(Path::of)
                .or(PlatformVm::settingsFile)
                .orElseThrow(() -> new CommandFailure(ExitCode.INVALID, "no settings file is named"));
        PlatformVm vm = new PlatformVm(file, metricsPort == 0 ? OptionalInt.empty() : OptionalInt.of(metricsPort));
        Signal.handle(new Signal(HANG_UP), signal -> vm.reload());
        GatewayProcess process;
        try {
            process = vm.start();
        } catch (SettingsException exception) {
            throw new CommandFailure(ExitCode.INVALID, exception.getMessage());
        }
        Thread hook = new Thread(() -> LogFlush.after(process.shutDown()), "stop");
        Runtime.getRuntime().addShutdownHook(hook);
        process.stopped().toCompletableFuture().join();
        return ExitCode.DONE;
    }
}
