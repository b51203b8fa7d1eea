package org.borageproxy.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Compares the production policies with the baseline on the same traces. Stateless and thread safe. */
public final class Experiment {

    private Experiment() {}

    /**
     * Runs an experiment and writes its result files if a folder is configured.
     *
     * @param options the deployments, seeds and trace length
     * @return the results
     * @throws UncheckedIOException if a result file cannot be written
     */
    public static Report run(ExperimentOptions options) {
        List<Measures> measures = new ArrayList<>();
        for (Deployment deployment : options.deployments()) {
            for (long seed : options.seeds()) {
                Trace trace = Trace.of(deployment, seed, options.seconds());
                measures.add(TraceRun.ofProduction(trace, seed));
                measures.add(TraceRun.ofBaseline(trace, seed));
            }
        }
        Report report = new Report(measures, SplitComparison.run(options.seeds().get(0)));
        options.folder().ifPresent(folder -> write(report, folder));
        return report;
    }

    private static void write(Report report, Path folder) {
        try {
            Files.createDirectories(folder);
            Files.writeString(folder.resolve("experiment.csv"), report.toCsv());
            Files.writeString(folder.resolve("experiment.svg"), Plot.of(report));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
