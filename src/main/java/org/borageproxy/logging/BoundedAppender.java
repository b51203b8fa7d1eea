package org.borageproxy.logging;

import java.util.concurrent.atomic.LongAdder;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;

/**
 * An asynchronous appender that never blocks the calling thread: log lines that do not fit the queue are dropped and
 * counted. Lines of level INFO and below are dropped once less than a fifth of the queue is free, which leaves room for
 * warnings and errors. Thread safe.
 */
public final class BoundedAppender extends AsyncAppender {

    private static final LongAdder DROPPED = new LongAdder();

    /** Creates an appender in non-blocking mode. */
    public BoundedAppender() {
        setNeverBlock(true);
    }

    /**
     * Returns the number of lines that all appenders of this process have dropped. The count may be too low, since the
     * free capacity is checked before the line is queued and concurrent threads may fill the queue in between.
     *
     * @return the number of dropped lines since the start of the process
     */
    public static long droppedCount() {
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
