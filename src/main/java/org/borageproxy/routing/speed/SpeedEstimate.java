package org.borageproxy.routing.speed;

import java.time.Duration;
import java.util.Arrays;
import java.util.OptionalDouble;

import org.borageproxy.time.Deadline;

/**
 * What is known of the speed of one incarnation of a server: a slow estimate for each kind of sample, and a factor for
 * a short disturbance, which has a deadline. Not thread safe.
 */
final class SpeedEstimate {

    /** Age after which a sample is not used; a server that gets hardly any requests is then tried again. */
    static final Duration VALIDITY = Duration.ofSeconds(60);
    /** Samples of a kind below which a server says nothing about its peers. */
    static final int MIN_SAMPLES = 5;

    /** Interval of a full history, which then spans the last 10 s of first events and 20 s of pauses. */
    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(500);

    private static final int FIRST_EVENT_CAPACITY = 21;
    private static final int PAUSE_CAPACITY = 41;
    private static final double MEDIAN = 0.5;
    /** The prefill of other requests lengthens pauses, so that the shorter ones show the speed of the server. */
    private static final double PAUSE_QUANTILE = 0.3;

    private static final Duration DISTURBANCE_WINDOW = Duration.ofMillis(400);
    /** Time for which a disturbance is assumed to last after the latest sample that shows it. */
    private static final Duration DISTURBANCE_VALIDITY = Duration.ofMillis(350);

    private static final int MIN_DISTURBED_SAMPLES = 3;
    /** Ratio to the slow estimate from which the latest samples count as a disturbance. */
    private static final double MIN_DISTURBANCE = Math.log(1.6);

    private static final double MAX_DISTURBANCE = Math.log(3.0);
    /** Number of assumed samples at the median of the peers. */
    private static final double PRIOR_SAMPLES = 1.0;

    private final long incarnation;
    private final SlownessHistory firstEvents =
            new SlownessHistory(FIRST_EVENT_CAPACITY, MEDIAN, VALIDITY, SAMPLE_INTERVAL);
    private final SlownessHistory pauses =
            new SlownessHistory(PAUSE_CAPACITY, PAUSE_QUANTILE, VALIDITY, SAMPLE_INTERVAL);
    private final SlownessHistory latestFirstEvents =
            new SlownessHistory(FIRST_EVENT_CAPACITY, MEDIAN, VALIDITY, Duration.ZERO);
    private final SlownessHistory latestPauses =
            new SlownessHistory(PAUSE_CAPACITY, PAUSE_QUANTILE, VALIDITY, Duration.ZERO);
    private double disturbance;
    private Deadline disturbedUntil;

    SpeedEstimate(long incarnation, long nowNanos) {
        this.incarnation = incarnation;
        this.disturbedUntil = new Deadline(nowNanos);
    }

    long incarnation() {
        return incarnation;
    }

    SlownessHistory firstEvents() {
        return firstEvents;
    }

    SlownessHistory pauses() {
        return pauses;
    }

    void recordFirstEvent(double logSlowness, long nowNanos) {
        firstEvents.record(logSlowness, nowNanos);
        updateDisturbance(latestFirstEvents, logSlowness, nowNanos);
    }

    void recordPause(double logSlowness, long nowNanos) {
        pauses.record(logSlowness, nowNanos);
        updateDisturbance(latestPauses, logSlowness, nowNanos);
    }

    /** Records a sample among the latest of its kind and updates the disturbance from them. */
    private void updateDisturbance(SlownessHistory history, double logSlowness, long nowNanos) {
        OptionalDouble usual = history.usual(nowNanos);
        history.record(logSlowness, nowNanos);
        double[] latest = history.samplesWithin(DISTURBANCE_WINDOW, nowNanos);
        if (usual.isEmpty() || latest.length < MIN_DISTURBED_SAMPLES || history.count(nowNanos) < 2 * latest.length) {
            return;
        }
        Arrays.sort(latest);
        double excess = latest[latest.length / 2] - usual.getAsDouble();
        if (excess >= MIN_DISTURBANCE) {
            disturbance = Math.min(MAX_DISTURBANCE, excess);
            disturbedUntil = Deadline.after(nowNanos, DISTURBANCE_VALIDITY);
        } else {
            disturbedUntil = new Deadline(nowNanos);
        }
    }

    /** Returns the logarithm of the factor by which the server is slower than usual at the moment. */
    double disturbance(long nowNanos) {
        return disturbedUntil.hasPassed(nowNanos) ? 0.0 : disturbance;
    }

    /** Returns the logarithm of the slowness relative to the peers' medians; zero without enough samples. */
    double relativeSlowness(Peers peers, long nowNanos) {
        double sum = 0.0;
        double weight = PRIOR_SAMPLES;
        int firstEventCount = firstEvents.count(nowNanos);
        int pauseCount = pauses.count(nowNanos);
        if (firstEventCount >= MIN_SAMPLES && peers.firstEvent().isPresent()) {
            sum += firstEventCount
                    * (firstEvents.slowness(nowNanos).orElseThrow()
                            - peers.firstEvent().getAsDouble());
            weight += firstEventCount;
        }
        if (pauseCount >= MIN_SAMPLES && peers.pause().isPresent()) {
            sum += pauseCount
                    * (pauses.slowness(nowNanos).orElseThrow() - peers.pause().getAsDouble());
            weight += pauseCount;
        }
        return sum / weight;
    }

    /**
     * Medians of the slow estimates of all servers that can stand in for one another.
     *
     * @param firstEvent the median for the time to the first event; empty with too few servers
     * @param pause the median for the pauses between events; empty with too few servers
     */
    record Peers(OptionalDouble firstEvent, OptionalDouble pause) {

        static final Peers UNKNOWN = new Peers(OptionalDouble.empty(), OptionalDouble.empty());
    }
}
