package org.borageproxy.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs the decisions of the product and the baseline on the same traces. Stateless and thread safe. */
public final class Experiment {

    /** Not instantiated. */
    private Experiment() {}

    /**
     * Runs an experiment and writes its files if there is a folder for them.
     *
     * @param options what to run
     * @return the measures
     * @throws UncheckedIOException if a file cannot be written
     */
    public static Report run(Options options) {
        List<Measures> measures = new ArrayList<>();
        for (Deployment deployment : options.deployments()) {
            for (long seed : options.seeds()) {
                Trace trace = Trace.of(deployment, seed, options.seconds());
                measures.add(TraceRun.ofProduct(trace, seed));
                measures.add(TraceRun.ofBaseline(trace, seed));
            }
        }
        Report report = new Report(measures, SplitComparison.run(options.seeds().get(0)));
        options.folder().ifPresent(folder -> write(report, folder));
        return report;
    }

    /**
     * Writes the files of a report.
     *
     * @param report the report
     * @param folder the folder, which is created if it is missing
     */
    private static void write(Report report, Path folder) {
        try {
            Files.createDirectories(folder);
            Files.writeString(folder.resolve("experiment.csv"), report.toCommaSeparatedValues());
            Files.writeString(folder.resolve("experiment.svg"), Plot.of(report));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
