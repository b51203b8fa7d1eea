package org.borageproxy.experiment;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The settings of an experiment. Immutable and thread safe.
 *
 * @param deployments the deployments
 * @param seeds the seeds of the traces, at least one
 * @param seconds the length of each trace, at least one second
 * @param folder the folder of the result files, or empty to write none
 */
public record ExperimentOptions(List<Deployment> deployments, List<Long> seeds, int seconds, Optional<Path> folder) {

    /** All deployments, five seeds, three minutes each, without result files. */
    public static final ExperimentOptions DEFAULT =
            new ExperimentOptions(List.of(Deployment.values()), List.of(1L, 2L, 3L, 4L, 5L), 180, Optional.empty());

    /** Creates a copy that later changes of the lists do not affect. */
    public ExperimentOptions {
        deployments = List.copyOf(deployments);
        seeds = List.copyOf(seeds);
        if (seconds < 1) {
            throw new IllegalArgumentException("Trace length must be at least one second: " + seconds);
        }
    }

    /**
     * Returns a copy with a folder for the result files.
     *
     * @param newFolder the folder, which is created if it is missing
     * @return the copy
     */
    public ExperimentOptions withFolder(Path newFolder) {
        return new ExperimentOptions(deployments, seeds, seconds, Optional.of(newFolder));
    }

    /**
     * Returns a copy with another trace length.
     *
     * @param newSeconds the length in seconds
     * @return the copy
     */
    public ExperimentOptions withSeconds(int newSeconds) {
        return new ExperimentOptions(deployments, seeds, newSeconds, folder);
    }

    /**
     * Returns a copy with other seeds.
     *
     * @param newSeeds the seeds of the traces
     * @return the copy
     */
    public ExperimentOptions withSeeds(List<Long> newSeeds) {
        return new ExperimentOptions(deployments, newSeeds, seconds, folder);
    }
}
