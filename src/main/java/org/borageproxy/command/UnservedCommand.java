package org.borageproxy.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.logging.UnservedTargets;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Lists the models and adapters that callers asked for and that were never served, from the logs of all VMs. Not thread
 * safe.
 */
final class UnservedCommand implements Command {

    @Option(name = "--requests", metaVar = "N", usage = "list only what was asked for N times or more")
    private int minimumRequests = 4;

    @Argument(required = true, multiValued = true, metaVar = "FILE", usage = "log files of the VMs")
    private List<String> logFiles = new ArrayList<>();

    @Override
    public ExitCode run(PrintStream output) throws Exception {
        new UnservedTargets(minimumRequests).list(LogFiles.read(logFiles)).forEach(output::println);
        return ExitCode.DONE;
    }
}
