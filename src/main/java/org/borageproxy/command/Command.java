package org.borageproxy.command;

import java.io.PrintStream;

/** A command of the executable. Its fields are set by the argument parser before it runs. Not thread safe. */
interface Command {

    /**
     * Runs the command once.
     *
     * @param output the stream for the command's results
     * @return the exit code
     * @throws Exception if the command fails; a {@link CommandFailure} determines the exit code
     */
    ExitCode run(PrintStream output) throws Exception;
}
