package org.borageproxy.command;

import java.io.PrintStream;

import org.borageproxy.Borageproxy;

/** Prints the version. Used by one thread. */
final class VersionCommand implements Command {

    @Override
    public ExitCode run(PrintStream output) {
        String version = Borageproxy.class.getPackage().getImplementationVersion();
        output.println("borageproxy " + (version == null ? "(not packaged)" : version));
        return ExitCode.DONE;
    }
}
