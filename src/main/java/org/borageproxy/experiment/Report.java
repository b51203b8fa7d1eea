package org.borageproxy.experiment;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The measures of an experiment, policy and baseline side by side. Immutable and thread safe.
 *
 * @param measures the measures in order of deployment, seed and policy
 * @param split the waiting times of the ways to split requests between versions
 */
public record Report(List<Measures> measures, SplitComparison split) {

    /** Copies the list. */
    public Report {
        measures = List.copyOf(measures);
    }

    /**
     * Returns the measures as a file of comma-separated values.
     *
     * @return the file's text
     */
    public String toCommaSeparatedValues() {
        return Stream.concat(Stream.of(Measures.HEADING), measures.stream().map(Measures::line))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    /**
     * Returns the average of a measure over the seeds.
     *
     * @param deployment the deployment
     * @param policy the name of the decisions
     * @param measure the measure
     * @return the average
     */
    public double average(Deployment deployment, String policy, ToDoubleFunction<Measures> measure) {
        return measures.stream()
                .filter(each -> each.deployment() == deployment && each.policy().equals(policy))
                .mapToDouble(measure)
                .average()
                .orElse(Double.NaN);
    }

    /**
     * Returns a table for the terminal.
     *
     * @return lines of text
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
