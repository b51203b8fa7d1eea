package org.borageproxy.routing.speed;

import java.time.Duration;
import java.util.Arrays;
import java.util.OptionalDouble;

import org.borageproxy.time.Deadline;

/**
 * Samples of one kind for one server, as logarithms of the ratio of observed to expected time. Samples that are older
 * than their validity are not used. Recording a sample costs constant time. Not thread safe.
 *
 * <p>Samples that follow within an interval are represented by the lowest of them, since load that the prediction does
 * not know lengthens times and nothing makes a server faster than it is. The interval grows with the number of samples
 * up to a bound, so that a new server is known after a few samples and a full history spans several seconds.
 */
final class SlownessHistory {

    private final double[] values;
    private final long[] recordedAtNanos;
    private final double quantile;
    private final Duration validity;
    private final Duration maximumInterval;
    private Deadline intervalEndsAt;
    private OptionalDouble usual = OptionalDouble.empty();
    private Deadline usualUntil;
    private int size;
    private int next;

    /**
     * Creates an empty history.
     *
     * @param capacity the number of samples that are kept
     * @param quantile the quantile that stands for the server, from zero to one
     * @param validity the age after which a sample is not used
     * @param maximumInterval the interval of a full history; zero to keep all samples
     */
    SlownessHistory(int capacity, double quantile, Duration validity, Duration maximumInterval) {
        values = new double[capacity];
        recordedAtNanos = new long[capacity];
        this.quantile = quantile;
        this.validity = validity;
        this.maximumInterval = maximumInterval;
    }

    void record(double logSlowness, long nowNanos) {
        if (intervalEndsAt != null && !intervalEndsAt.hasPassed(nowNanos)) {
            int latest = Math.floorMod(next - 1, values.length);
            values[latest] = Math.min(values[latest], logSlowness);
            return;
        }
        intervalEndsAt =
                Deadline.after(nowNanos, maximumInterval.multipliedBy(size).dividedBy(values.length));
        values[next] = logSlowness;
        recordedAtNanos[next] = nowNanos;
        next = (next + 1) % values.length;
        size = Math.min(size + 1, values.length);
    }

    /** Returns the number of samples that are not too old. */
    int count(long nowNanos) {
        int count = 0;
        for (int index = 0; index < size; index++) {
            if (isValid(index, nowNanos, validity)) {
                count++;
            }
        }
        return count;
    }

    private boolean isValid(int index, long nowNanos, Duration age) {
        return !Deadline.after(recordedAtNanos[index], age).hasPassed(nowNanos);
    }

    /** Returns the quantile of the valid samples; empty without any. */
    OptionalDouble slowness(long nowNanos) {
        double[] valid = samplesWithin(validity, nowNanos);
        Arrays.sort(valid);
        return valid.length == 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(valid[(int) Math.floor((valid.length - 1) * quantile)]);
    }

    /** Returns the quantile of the valid samples as of at most {@link LearnedSpeeds#UPDATE_INTERVAL} ago. */
    OptionalDouble usual(long nowNanos) {
        if (usualUntil == null || usualUntil.hasPassed(nowNanos)) {
            usualUntil = Deadline.after(nowNanos, LearnedSpeeds.UPDATE_INTERVAL);
            usual = slowness(nowNanos);
        }
        return usual;
    }

    /** Returns the samples that are not older than a given age, in no order. */
    double[] samplesWithin(Duration age, long nowNanos) {
        double[] valid = new double[size];
        int count = 0;
        for (int index = 0; index < size; index++) {
            if (isValid(index, nowNanos, age)) {
                valid[count] = values[index];
                count++;
            }
        }
        return Arrays.copyOf(valid, count);
    }
}
