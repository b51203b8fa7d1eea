package org.borageproxy.experiment;

import java.util.Locale;

/**
 * The results of one run of a trace. Immutable and thread safe.
 *
 * <p>A request is entitled if a single token bucket per workspace for the whole fleet would admit it. The counted
 * requests are those answered within their deadline, for each workspace at most as many as are entitled.
 *
 * @param deployment the deployment
 * @param seed the seed of the trace
 * @param policy the name of the set of policies, {@code borageproxy} or {@code baseline}
 * @param attainmentPerAccelerator the counted requests per accelerator and second
 * @param attainment the counted requests divided by the entitled requests
 * @param worstWorkspaceAttainment the minimum over the workspaces of the requests answered within their deadline
 *     divided by the entitled requests; it is not capped and may exceed one
 * @param wrongfulRefusals the requests refused by the quota although the single bucket admitted all requests of the
 *     workspace during the time in which an empty bucket fills up
 * @param modelMoves the number of model loads started
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

    /** The header line of the CSV file. */
    static final String HEADING = "deployment,seed,policy,attainment_per_accelerator_per_second,attainment,"
            + "worst_workspace_attainment,wrongful_refusals,model_moves";

    /** Returns the measures as a line of CSV, in the order of {@link #HEADING}. */
    String toCsvLine() {
        return String.join(
                ",",
                deployment.name(),
                Long.toString(seed),
                policy,
                formatDecimal(attainmentPerAccelerator),
                formatDecimal(attainment),
                formatDecimal(worstWorkspaceAttainment),
                Integer.toString(wrongfulRefusals),
                Integer.toString(modelMoves));
    }

    /** Uses a fixed locale so that the file does not depend on the machine. */
    private static String formatDecimal(double value) {
        return String.format(Locale.ROOT, "%.4f", value);
    }
}
