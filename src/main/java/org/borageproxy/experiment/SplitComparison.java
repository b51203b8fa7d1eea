package org.borageproxy.experiment;

import java.util.Locale;
import java.util.Random;

/**
 * The mean waiting times, in units of the mean service time, when requests are split by weight between versions without
 * regard to their load. Immutable and thread safe.
 *
 * @param random the waiting time with independent draws
 * @param smoothRoundRobin the waiting time with smooth weighted round robin
 * @param billiard the waiting time with a billiard sequence
 */
public record SplitComparison(double random, double smoothRoundRobin, double billiard) {

    /** The weights of the versions; each version's power is in proportion to its weight. */
    private static final double[] WEIGHTS = {0.5, 0.3, 0.15, 0.05};

    /** The share of the power that is in use. */
    private static final double UTILIZATION = 0.8;

    /** The spread of the logarithm of the service times. */
    private static final double SIGMA = 0.8;

    /** The requests of a run. */
    private static final int REQUESTS = 400_000;

    /** Chooses a version for each request in turn. */
    @FunctionalInterface
    private interface Splitter {

        /**
         * Chooses the next version.
         *
         * @return the version's number
         */
        int next();
    }

    /**
     * Runs the three ways on the same arrivals and service times.
     *
     * @param seed the seed
     * @return the waiting times
     */
    static SplitComparison run(long seed) {
        Random draws = new Random(seed);
        return new SplitComparison(
                waiting(seed, () -> drawn(draws)), waiting(seed, roundRobin()), waiting(seed, billiardSequence(seed)));
    }

    /**
     * Draws a version by weight.
     *
     * @param draws the source of randomness
     * @return the version's number
     */
    private static int drawn(Random draws) {
        double point = draws.nextDouble();
        for (int version = 0; version < WEIGHTS.length; version++) {
            point -= WEIGHTS[version];
            if (point < 0) {
                return version;
            }
        }
        return WEIGHTS.length - 1;
    }

    /**
     * Returns smooth weighted round robin: every version gains its weight, the largest is chosen and pays one.
     *
     * @return the splitter
     */
    private static Splitter roundRobin() {
        double[] credits = new double[WEIGHTS.length];
        return () -> {
            int chosen = 0;
            for (int version = 0; version < credits.length; version++) {
                credits[version] += WEIGHTS[version];
                chosen = credits[version] > credits[chosen] ? version : chosen;
            }
            credits[chosen] -= 1;
            return chosen;
        };
    }

    /**
     * Returns a billiard sequence: a ball moves with the weights as its speed, and each wall that it meets names the
     * version; the starting point is drawn.
     *
     * @param seed the seed
     * @return the splitter
     */
    private static Splitter billiardSequence(long seed) {
        Random start = new Random(seed);
        double[] nextWalls = new double[WEIGHTS.length];
        for (int version = 0; version < WEIGHTS.length; version++) {
            nextWalls[version] = start.nextDouble() / WEIGHTS[version];
        }
        return () -> {
            int chosen = 0;
            for (int version = 1; version < nextWalls.length; version++) {
                chosen = nextWalls[version] < nextWalls[chosen] ? version : chosen;
            }
            nextWalls[chosen] += 1 / WEIGHTS[chosen];
            return chosen;
        };
    }

    /**
     * Runs Poisson arrivals with lognormal service times, first come first served at each version.
     *
     * @param seed the seed
     * @param splitter the way to split
     * @return the mean waiting time in units of the mean service time at full power
     */
    private static double waiting(long seed, Splitter splitter) {
        Random random = new Random(seed + 1);
        double[] freeAt = new double[WEIGHTS.length];
        double now = 0;
        double waited = 0;
        for (int request = 0; request < REQUESTS; request++) {
            now -= Math.log(1 - random.nextDouble()) / UTILIZATION;
            double service = Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
            int version = splitter.next();
            double start = Math.max(now, freeAt[version]);
            waited += start - now;
            freeAt[version] = start + service / WEIGHTS[version];
        }
        return waited / REQUESTS;
    }

    /**
     * Returns a line for the terminal.
     *
     * @return the text
     */
    String toTable() {
        return String.format(
                Locale.ROOT,
                "version split, mean wait: random %.3f, smooth round robin %.3f, billiard %.3f%n",
                random,
                smoothRoundRobin,
                billiard);
    }
}
