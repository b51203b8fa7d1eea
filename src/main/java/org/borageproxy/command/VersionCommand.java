package org.borageproxy.command;

import java.io.PrintStream;

import org.borageproxy.Borageproxy;

/** Prints the version, which is unknown unless the classes come from the packaged archive. Not thread safe. */
final class VersionCommand implements Command {

    @Override
    public ExitCode run(PrintStream output) {
        String version = Borageproxy.class.getPackage().getImplementationVersion();
        output.println("borageproxy " + (version == null ? "(not packaged)" : version));
        return ExitCode.DONE;
    }
}
