package org.borageproxy.command;

import java.io.PrintStream;

/** One command of the executable, with its parsed arguments. Used by one thread. */
interface Command {

    /**
     * Runs the command.
     *
     * @param output takes what the command prints
     * @return the exit code
     * @throws Exception if the command fails in a way that it does not expect
     */
    ExitCode run(PrintStream output) throws Exception;
}
