package org.borageproxy;

import org.borageproxy.command.CommandLine;
import org.borageproxy.command.ExitCode;

/** The entry point of the executable. Stateless and thread safe. */
public final class Borageproxy {

    /** Not instantiated. */
    private Borageproxy() {}

    /**
     * Runs a command and exits the process with the command's exit code.
     *
     * @param arguments the name of the command, followed by its arguments
     */
    public static void main(String[] arguments) {
        ExitCode exitCode = new CommandLine().run(arguments, System.out, System.err);
        System.exit(exitCode.number());
    }
}
