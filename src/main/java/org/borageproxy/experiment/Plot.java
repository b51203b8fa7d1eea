package org.borageproxy.experiment;

import java.util.Locale;

/** Draws the average attainments of a report as an SVG bar chart. Stateless and thread safe. */
final class Plot {

    /** Sizes and positions are in pixels. */
    private static final int WIDTH = 640;

    private static final int ROW_HEIGHT = 26;

    private static final int BAR_LEFT = 300;

    private static final int MAXIMUM_BAR_WIDTH = 260;

    private Plot() {}

    /**
     * Draws two bars for each deployment and policy, averaged over the seeds.
     *
     * @return the SVG document
     */
    static String of(Report report) {
        StringBuilder bars = new StringBuilder();
        int row = 0;
        for (Deployment deployment : Deployment.values()) {
            for (String policy : new String[] {"borageproxy", "baseline"}) {
                double attainment = report.average(deployment, policy, Measures::attainment);
                double worst = report.average(deployment, policy, Measures::worstWorkspaceAttainment);
                if (!Double.isNaN(attainment)) {
                    String name = deployment + " " + policy;
                    bars.append(bar(row++, name + " attainment", attainment, "#2b6cb0"));
                    bars.append(bar(row++, name + " worst workspace", worst, "#c05621"));
                }
            }
        }
        return String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" "
                        + "font-size=\"12\">%n%s</svg>%n",
                WIDTH,
                (row + 1) * ROW_HEIGHT,
                bars);
    }

    private static String bar(int row, String label, double value, String color) {
        int top = ROW_HEIGHT / 2 + row * ROW_HEIGHT;
        return String.format(
                Locale.ROOT,
                "<text x=\"8\" y=\"%d\">%s</text><rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>"
                        + "<text x=\"%.1f\" y=\"%d\">%.3f</text>%n",
                top + 14,
                label,
                BAR_LEFT,
                top,
                value * MAXIMUM_BAR_WIDTH,
                ROW_HEIGHT - 8,
                color,
                BAR_LEFT + value * MAXIMUM_BAR_WIDTH + 6,
                top + 14,
                value);
    }
}
