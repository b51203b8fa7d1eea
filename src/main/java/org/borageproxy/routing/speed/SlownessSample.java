package org.borageproxy.routing.speed;

/**
 * How much longer than predicted for a server of the speed one a server took, as means of logarithms over the answers
 * of one reporting interval. Immutable and thread safe.
 *
 * @param firstEvent the mean logarithm of the ratio for the time to the first event or to the answer
 * @param firstEvents the number of such times; zero if there were none
 * @param pause the mean logarithm of the ratio for the pauses between events
 * @param pauses the number of such pauses; zero if there were none
 */
public record SlownessSample(double firstEvent, int firstEvents, double pause, int pauses) {

    /** Bound of the logarithms; a hundredfold deviation says no more about the speed than a larger one. */
    private static final double MAX_LOGARITHM = Math.log(100);

    /** Bounds the logarithms; a value that is no number counts as not sampled. */
    public SlownessSample {
        firstEvents = Double.isNaN(firstEvent) ? 0 : firstEvents;
        pauses = Double.isNaN(pause) ? 0 : pauses;
        firstEvent = bounded(firstEvent);
        pause = bounded(pause);
    }

    private static double bounded(double logarithm) {
        return Double.isNaN(logarithm) ? 0.0 : Math.max(-MAX_LOGARITHM, Math.min(MAX_LOGARITHM, logarithm));
    }

    /**
     * Returns whether there are any samples.
     *
     * @return {@code false} if both counts are zero
     */
    public boolean isPresent() {
        return firstEvents > 0 || pauses > 0;
    }
}
