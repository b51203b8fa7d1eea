package org.borageproxy.experiment;

import java.util.Locale;
import java.util.Random;

/**
 * The mean waiting times, in units of the mean service time at full capacity, of methods that split requests by weight
 * between versions without regard to their load. Immutable and thread safe.
 *
 * @param random the waiting time with independent random draws
 * @param smoothRoundRobin the waiting time with smooth weighted round robin
 * @param billiard the waiting time with a billiard sequence
 */
public record SplitComparison(double random, double smoothRoundRobin, double billiard) {

    /** The weights of the versions; the service rate of each version is proportional to its weight. */
    private static final double[] WEIGHTS = {0.5, 0.3, 0.15, 0.05};

    /** Ratio of the offered load to the total capacity. */
    private static final double UTILIZATION = 0.8;

    /** Standard deviation of the logarithm of the service times. */
    private static final double LOG_SERVICE_TIME_DEVIATION = 0.8;

    private static final int REQUESTS = 400_000;

    /** Selects a version for each request in turn. */
    @FunctionalInterface
    private interface Splitter {

        /** Returns the index of the version for the next request. */
        int next();
    }

    /** Simulates the three methods on the same arrivals and service times. */
    static SplitComparison run(long seed) {
        Random draws = new Random(seed);
        return new SplitComparison(
                meanWaitingTime(seed, () -> drawVersion(draws)),
                meanWaitingTime(seed, roundRobin()),
                meanWaitingTime(seed, billiardSequence(seed)));
    }

    private static int drawVersion(Random draws) {
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
     * Returns smooth weighted round robin: on each request every version gains its weight, and the version with the
     * largest credit is selected and pays one.
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
     * Returns a billiard sequence: a ball moves through a grid at speeds equal to the weights, and each wall that it
     * crosses selects the version of that dimension. The starting point is random.
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
     * Simulates Poisson arrivals with lognormal service times of mean one, first come, first served at each version.
     *
     * @return the mean waiting time in units of the mean service time at full capacity
     */
    private static double meanWaitingTime(long seed, Splitter splitter) {
        Random random = new Random(seed + 1);
        double[] freeAt = new double[WEIGHTS.length];
        double now = 0;
        double waited = 0;
        for (int request = 0; request < REQUESTS; request++) {
            now -= Math.log(1 - random.nextDouble()) / UTILIZATION;
            double service = Math.exp(LOG_SERVICE_TIME_DEVIATION * random.nextGaussian()
                    - LOG_SERVICE_TIME_DEVIATION * LOG_SERVICE_TIME_DEVIATION / 2);
            int version = splitter.next();
            double start = Math.max(now, freeAt[version]);
            waited += start - now;
            freeAt[version] = start + service / WEIGHTS[version];
        }
        return waited / REQUESTS;
    }

    /** Returns one line for the terminal. */
    String toTable() {
        return String.format(
                Locale.ROOT,
                "version split, mean wait: random %.3f, smooth round robin %.3f, billiard %.3f%n",
                random,
                smoothRoundRobin,
                billiard);
    }
}
