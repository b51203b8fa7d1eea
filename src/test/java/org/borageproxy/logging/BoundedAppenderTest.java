package org.borageproxy.logging;

import java.util.concurrent.CountDownLatch;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class BoundedAppenderTest {

    private static final int LINES = 100;
    private static final int QUEUE = 10;

    @Test
    void fullQueueDropsLinesAndCountsThemWithoutWaiting() {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        CountDownLatch stalled = new CountDownLatch(1);
        AppenderBase<ILoggingEvent> slow = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                try {
                    stalled.await();
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        slow.setContext(context);
        slow.start();
        BoundedAppender bounded = new BoundedAppender();
        bounded.setContext(context);
        bounded.setQueueSize(QUEUE);
        bounded.addAppender(slow);
        bounded.start();
        long before = BoundedAppender.dropped();
        for (int line = 0; line < LINES; line++) {
            bounded.doAppend(new LoggingEvent("t", context.getLogger("t"), Level.INFO, "line", null, null));
        }
        long dropped = BoundedAppender.dropped() - before;
        stalled.countDown();
        bounded.stop();
        // The writer takes a whole queue at once before it stalls.
        assertTrue(dropped >= LINES - 2 * QUEUE, "dropped " + dropped);
        assertTrue(dropped < LINES, "dropped " + dropped);
    }
}
