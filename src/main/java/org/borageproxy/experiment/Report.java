package org.borageproxy.experiment;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The results of an experiment. Immutable and thread safe.
 *
 * @param measures the results of the traces in order of deployment, seed and policy
 * @param split the mean waiting times of the methods that split requests between versions
 */
public record Report(List<Measures> measures, SplitComparison split) {

    /** Creates a copy that later changes of the list do not affect. */
    public Report {
        measures = List.copyOf(measures);
    }

    /**
     * Returns the results of the traces as CSV with a header line.
     *
     * @return the text of the file
     */
    public String toCsv() {
        return Stream.concat(Stream.of(Measures.HEADING), measures.stream().map(Measures::toCsvLine))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    /**
     * Returns the average of a measure over the seeds.
     *
     * @param deployment the deployment
     * @param policy the name of the set of policies, {@code borageproxy} or {@code baseline}
     * @param measure the measure
     * @return the average, or NaN if there is no such run
     */
    public double average(Deployment deployment, String policy, ToDoubleFunction<Measures> measure) {
        return measures.stream()
                .filter(each -> each.deployment() == deployment && each.policy().equals(policy))
                .mapToDouble(measure)
                .average()
                .orElse(Double.NaN);
    }

    /**
     * Returns all results as a text table for the terminal.
     *
     * @return the lines of the table
     */
    public String toTable() {
        StringBuilder table = new StringBuilder();
        String heading = "%-9s %4s %-12s %14s %10s %9s %9s %6s%n";
        String row = "%-9s %4d %-12s %14.4f %10.4f %9.4f %9d %6d%n";
        table.append(String.format(
                Locale.ROOT,
                heading,
                "where",
                "seed",
                "policy",
                "attained/acc/s",
                "attainment",
                "worst ws",
                "wrongful",
                "moves"));
        for (Measures each : measures) {
            table.append(String.format(
                    Locale.ROOT,
                    row,
                    each.deployment(),
                    each.seed(),
                    each.policy(),
                    each.attainmentPerAccelerator(),
                    each.attainment(),
                    each.worstWorkspaceAttainment(),
                    each.wrongfulRefusals(),
                    each.modelMoves()));
        }
        return table + split.toTable();
    }
}
