package org.borageproxy.logging;

import java.util.concurrent.atomic.LongAdder;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;

/**
 * Queues log lines and counts those that the full queue drops. Lines of level INFO and below are dropped first, while a
 * fifth of the queue is left for warnings. Safe for use by any thread.
 */
public final class BoundedAppender extends AsyncAppender {

    private static final LongAdder DROPPED = new LongAdder();

    /** Creates an appender that never waits. */
    public BoundedAppender() {
        setNeverBlock(true);
    }

    /**
     * Returns how many lines this process has dropped. Lines that several threads write at the same moment may be
     * missing from the count.
     *
     * @return the number of lines
     */
    public static long dropped() {
        return DROPPED.sum();
    }

    @Override
    protected void append(ILoggingEvent event) {
        int reserved = isDiscardable(event) ? getDiscardingThreshold() : 1;
        if (getRemainingCapacity() < reserved) {
            DROPPED.increment();
        }
        super.append(event);
    }
}
