package org.borageproxy.experiment;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * What an experiment runs. Immutable and thread safe.
 *
 * @param deployments the deployments
 * @param seeds the seeds of the traces
 * @param seconds the length of each trace
 * @param folder where the files are written, or empty to write none
 */
public record Options(List<Deployment> deployments, List<Long> seeds, int seconds, Optional<Path> folder) {

    /** Both deployments, five seeds, three minutes each, without files. */
    public static final Options DEFAULT =
            new Options(List.of(Deployment.values()), List.of(1L, 2L, 3L, 4L, 5L), 180, Optional.empty());

    /** Copies the lists. */
    public Options {
        deployments = List.copyOf(deployments);
        seeds = List.copyOf(seeds);
        if (seconds < 1) {
            throw new IllegalArgumentException("A trace needs a length: " + seconds);
        }
    }

    /**
     * Returns these options with a folder for the files.
     *
     * @param written the folder
     * @return a copy
     */
    public Options withFolder(Path written) {
        return new Options(deployments, seeds, seconds, Optional.of(written));
    }

    /**
     * Returns these options with another length of the traces.
     *
     * @param length the length in seconds
     * @return a copy
     */
    public Options withSeconds(int length) {
        return new Options(deployments, seeds, length, folder);
    }

    /**
     * Returns these options with other seeds.
     *
     * @param others the seeds
     * @return a copy
     */
    public Options withSeeds(List<Long> others) {
        return new Options(deployments, others, seconds, folder);
    }
}
