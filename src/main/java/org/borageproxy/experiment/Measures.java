package org.borageproxy.experiment;

import java.util.Locale;

/**
 * What one run of a trace gave. Immutable and thread safe.
 *
 * @param deployment the deployment
 * @param seed the seed of the trace
 * @param policy the name of the decisions
 * @param attainmentPerAccelerator requests within their workspace's rate that were answered within their deadline, for
 *     each accelerator and second
 * @param attainment the share of the requests within their workspace's rate that were answered within their deadline
 * @param worstWorkspaceAttainment the same share of the worst-served workspace
 * @param wrongfulRefusals requests refused for the rate although one bucket for the fleet would have admitted them
 * @param modelMoves the models that were loaded
 */
public record Measures(
        Deployment deployment,
        long seed,
        String policy,
        double attainmentPerAccelerator,
        double attainment,
        double worstWorkspaceAttainment,
        int wrongfulRefusals,
        int modelMoves) {

    /** The heading of the lines in a file of comma-separated values. */
    static final String HEADING = "deployment,seed,policy,attainment_per_accelerator_per_second,attainment,"
            + "worst_workspace_attainment,wrongful_refusals,model_moves";

    /**
     * Returns the measures as comma-separated values.
     *
     * @return the line
     */
    String line() {
        return String.join(
                ",",
                deployment.name(),
                Long.toString(seed),
                policy,
                decimal(attainmentPerAccelerator),
                decimal(attainment),
                decimal(worstWorkspaceAttainment),
                Integer.toString(wrongfulRefusals),
                Integer.toString(modelMoves));
    }

    /**
     * Writes a number with four decimals, the same in every locale.
     *
     * @param value the number
     * @return the text
     */
    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.4f", value);
    }
}
