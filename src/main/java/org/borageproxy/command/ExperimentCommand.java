package org.borageproxy.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;

import org.borageproxy.experiment.Experiment;
import org.borageproxy.experiment.Options;
import org.kohsuke.args4j.Option;

/** Compares the product's decisions with a baseline on seeded traces in virtual time. Used by one thread. */
final class ExperimentCommand implements Command {

    /** The length of each trace in seconds. */
    @Option(name = "--seconds", metaVar = "SECONDS", usage = "length of each trace")
    private int seconds = 180;

    /** The number of seeds. */
    @Option(name = "--seeds", metaVar = "COUNT", usage = "number of seeds, counted from one")
    private int seeds = 5;

    /** The folder for the table and the plot. */
    @Option(name = "--folder", metaVar = "FOLDER", usage = "folder for experiment.csv and experiment.svg")
    private String folder;

    @Override
    public ExitCode run(PrintStream output) {
        if (seconds < 1 || seeds < 1) {
            throw new CommandFailure(ExitCode.USAGE, "--seconds and --seeds must be at least 1");
        }
        List<Long> numbers = LongStream.rangeClosed(1, seeds).boxed().toList();
        Options options = Options.DEFAULT.withSeconds(seconds).withSeeds(numbers);
        Options chosen = folder == null ? options : options.withFolder(Path.of(folder));
        output.println(Experiment.run(chosen).toTable());
        return ExitCode.DONE;
    }
}
