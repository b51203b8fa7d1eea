package org.borageproxy.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the log files that a command is given. Not instantiable. */
final class LogFiles {

    private LogFiles() {}

    /**
     * Reads the lines of some files.
     *
     * @param files the paths
     * @return the lines of all files
     * @throws CommandFailure if a file cannot be read
     */
    static List<String> read(List<String> files) throws CommandFailure {
        List<String> lines = new ArrayList<>();
        for (String file : files) {
            try {
                lines.addAll(Files.readAllLines(Path.of(file)));
            } catch (IOException exception) {
                throw new CommandFailure(
                        ExitCode.INVALID, file + ": cannot read the log file: " + exception.getMessage());
            }
        }
        return lines;
    }
}
