package org.borageproxy.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.logging.PublicationChains;
import org.kohsuke.args4j.Argument;

/**
 * Lists how long each acknowledged publication took to be in force at the slowest VM, and which link of its way took
 * longest, from the logs of all VMs. Not thread safe.
 */
final class PublicationsCommand implements Command {

    @Argument(required = true, multiValued = true, metaVar = "FILE", usage = "log files of the VMs")
    private List<String> logFiles = new ArrayList<>();

    @Override
    public ExitCode run(PrintStream output) throws Exception {
        new PublicationChains().list(LogFiles.read(logFiles)).forEach(output::println);
        return ExitCode.DONE;
    }
}
