package org.borageproxy.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.borageproxy.logging.RequestLines;
import org.kohsuke.args4j.Argument;

/** Prints the lines of one request from the logs of all VMs. Used by one thread. */
final class ExplainCommand implements Command {

    @Argument(index = 0, required = true, metaVar = "ID", usage = "the caller's identity of the request")
    private String requestIdentity;

    @Argument(index = 1, required = true, multiValued = true, metaVar = "FILE", usage = "logs of the VMs")
    private List<String> logFiles = new ArrayList<>();

    @Override
    public ExitCode run(PrintStream output) throws Exception {
        List<String> lines = new ArrayList<>();
        for (String file : logFiles) {
            try {
                lines.addAll(Files.readAllLines(Path.of(file)));
            } catch (IOException exception) {
                throw new CommandFailure(ExitCode.INVALID, file + " cannot be read: " + exception.getMessage());
            }
        }
        List<String> explained = new RequestLines(requestIdentity).select(lines);
        if (explained.isEmpty()) {
            throw new CommandFailure(ExitCode.INVALID, "no line of request " + requestIdentity);
        }
        explained.forEach(output::println);
        return ExitCode.DONE;
    }
}
