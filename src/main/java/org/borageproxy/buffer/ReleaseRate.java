package org.borageproxy.buffer;

import java.time.Duration;

/** Exponentially decaying mean of the bytes that are returned per nanosecond. Not thread safe. */
final class ReleaseRate {

    /** Time in which the weight of an observation falls to 1/e. */
    private static final double MEMORY_NANOS = 2e9;
    /** Bound on estimates, far above any that is used. */
    private static final Duration LONGEST = Duration.ofHours(1);

    private double decayedBytes;
    private long updatedAtNanos;

    ReleaseRate(long nowNanos) {
        updatedAtNanos = nowNanos;
    }

    void record(long bytes, long nowNanos) {
        decay(nowNanos);
        decayedBytes += bytes;
    }

    private void decay(long nowNanos) {
        long elapsed = nowNanos - updatedAtNanos;
        // Observations within a thousandth of the memory count as simultaneous, which spares the exponential.
        if (elapsed * 1e3 > MEMORY_NANOS) {
            decayedBytes *= Math.exp(-elapsed / MEMORY_NANOS);
            updatedAtNanos = nowNanos;
        }
    }

    /** Returns the time in which a number of bytes is returned at the present rate. */
    Duration timeFor(double bytes, long nowNanos) {
        decay(nowNanos);
        double nanos = bytes * MEMORY_NANOS / Math.max(Double.MIN_NORMAL, decayedBytes);
        return nanos >= LONGEST.toNanos() ? LONGEST : Duration.ofNanos((long) nanos);
    }
}
