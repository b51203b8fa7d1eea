package org.borageproxy.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;

import org.borageproxy.experiment.Experiment;
import org.borageproxy.experiment.ExperimentOptions;
import org.kohsuke.args4j.Option;

/** Compares scheduling policies with a baseline on traces from seeds, in simulated time. Not thread safe. */
final class ExperimentCommand implements Command {

    @Option(name = "--seconds", metaVar = "SECONDS", usage = "length of each trace in seconds")
    private int traceSeconds = 180;

    @Option(name = "--seeds", metaVar = "COUNT", usage = "number of seeds; the seeds are 1 to COUNT")
    private int seedCount = 5;

    @Option(
            name = "--folder",
            metaVar = "FOLDER",
            usage = "output folder for experiment.csv and experiment.svg; none are written if absent")
    private String folder;

    @Override
    public ExitCode run(PrintStream output) {
        if (traceSeconds < 1 || seedCount < 1) {
            throw new CommandFailure(ExitCode.USAGE, "--seconds and --seeds must be at least 1");
        }
        List<Long> seeds = LongStream.rangeClosed(1, seedCount).boxed().toList();
        ExperimentOptions options =
                ExperimentOptions.DEFAULT.withSeconds(traceSeconds).withSeeds(seeds);
        ExperimentOptions optionsWithFolder = folder == null ? options : options.withFolder(Path.of(folder));
        output.println(Experiment.run(optionsWithFolder).toTable());
        return ExitCode.DONE;
    }
}
