package org.borageproxy.command;

import java.io.PrintStream;

import org.borageproxy.server.VmProcess;

/**
 * Runs a VM until the process is asked to stop. The first termination signal starts the graceful shutdown; later ones
 * have no effect. Not thread safe.
 */
final class ServeCommand extends SettingsOption implements Command {

    @Override
    public ExitCode run(PrintStream output) throws Exception {
        VmProcess process = VmProcess.start(readSettings());
        Thread hook = new Thread(() -> stop(process), "stop");
        Runtime.getRuntime().addShutdownHook(hook);
        process.stopped().toCompletableFuture().join();
        return ExitCode.DONE;
    }

    /**
     * Shuts a VM down gracefully and flushes the log; returns when both are complete.
     *
     * @param process the VM
     */
    private static void stop(VmProcess process) {
        LogFlush.flushAfter(process.shutDown());
    }
}
