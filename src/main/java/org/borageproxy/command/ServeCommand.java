package org.borageproxy.command;

import java.io.PrintStream;

import org.borageproxy.server.VmProcess;

/**
 * Runs a VM as its settings say, until it is asked to stop. The first request to stop starts the graceful shutdown;
 * later ones change nothing. Used by one thread.
 */
final class ServeCommand extends SettingsOption implements Command {

    @Override
    public ExitCode run(PrintStream output) throws Exception {
        VmProcess process = VmProcess.start(settings());
        Thread hook = new Thread(() -> stop(process), "stop");
        Runtime.getRuntime().addShutdownHook(hook);
        process.stopped().toCompletableFuture().join();
        return ExitCode.DONE;
    }

    /**
     * Shuts a VM down and waits until it has.
     *
     * @param process the VM
     */
    private static void stop(VmProcess process) {
        LogFlush.after(process.shutDown());
    }
}
