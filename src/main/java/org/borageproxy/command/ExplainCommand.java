package org.borageproxy.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.logging.RequestLines;
import org.kohsuke.args4j.Argument;

/** Prints the lines that concern one request from the logs of all VMs, ordered by time. Not thread safe. */
final class ExplainCommand implements Command {

    @Argument(index = 0, required = true, metaVar = "ID", usage = "request identity as chosen by the caller")
    private String requestIdentity;

    @Argument(index = 1, required = true, multiValued = true, metaVar = "FILE", usage = "log files of the VMs")
    private List<String> logFiles = new ArrayList<>();

    @Override
    public ExitCode run(PrintStream output) throws Exception {
        List<String> explained = new RequestLines(requestIdentity).select(LogFiles.read(logFiles));
        if (explained.isEmpty()) {
            throw new CommandFailure(ExitCode.INVALID, "the logs contain no line of request " + requestIdentity);
        }
        explained.forEach(output::println);
        return ExitCode.DONE;
    }
}
