package org.borageproxy.experiment;

import java.util.Locale;

/** Draws the averages of a report as bars in an SVG image. Stateless and thread safe. */
final class Plot {

    /** The width of the image. */
    private static final int WIDTH = 640;

    /** The height of one row of bars. */
    private static final int ROW = 26;

    /** Where the bars start. */
    private static final int LEFT = 300;

    /** The width of the longest bar. */
    private static final int LONGEST = 260;

    /** Not instantiated. */
    private Plot() {}

    /**
     * Draws a report.
     *
     * @param report the report
     * @return the image
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
                (row + 1) * ROW,
                bars);
    }

    /**
     * Draws a bar.
     *
     * @param row its row
     * @param label its label
     * @param value its length from zero to one
     * @param color its colour
     * @return the elements
     */
    private static String bar(int row, String label, double value, String color) {
        int top = ROW / 2 + row * ROW;
        return String.format(
                Locale.ROOT,
                "<text x=\"8\" y=\"%d\">%s</text><rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>"
                        + "<text x=\"%.1f\" y=\"%d\">%.3f</text>%n",
                top + 14,
                label,
                LEFT,
                top,
                value * LONGEST,
                ROW - 8,
                color,
                LEFT + value * LONGEST + 6,
                top + 14,
                value);
    }
}
