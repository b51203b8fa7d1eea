package org.borageproxy.routing.speed;

/**
 * Measures the pauses between the events of one stream, as means over several events, since an entry that is short of
 * CPU time reads several events at once. Not thread safe; confined to the event loop of the request.
 */
public final class PauseMeter {

    /** Number of pauses in a mean. */
    private static final int PAUSES_PER_MEAN = 3;

    private int events;
    private long sinceNanos;

    /**
     * Records that events arrived.
     *
     * @param totalEvents the number of events of the stream so far
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @param stepMillis the predicted duration of a decoding step in milliseconds, for a server of the speed one
     * @param meter receives the mean pause
     */
    public void recordEvents(int totalEvents, long nowNanos, double stepMillis, SlownessMeter meter) {
        if (events == 0) {
            restart(totalEvents, nowNanos);
        } else if (totalEvents - events >= PAUSES_PER_MEAN) {
            double pauseMillis = (nowNanos - sinceNanos) / 1e6 / (totalEvents - events);
            meter.recordPause(pauseMillis / stepMillis);
            restart(totalEvents, nowNanos);
        }
    }

    private void restart(int totalEvents, long nowNanos) {
        events = totalEvents;
        sinceNanos = nowNanos;
    }

    /** Discards the pauses since the latest mean, for example because the caller did not read. */
    public void discard() {
        events = 0;
    }
}
