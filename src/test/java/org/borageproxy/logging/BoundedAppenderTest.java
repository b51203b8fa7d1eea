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

/** Tests of {@link BoundedAppender}. */
class BoundedAppenderTest {

    private static final int LINE_COUNT = 100;
    private static final int QUEUE_SIZE = 10;

    @Test
    void fullQueueDropsAndCountsLinesWithoutBlocking() {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        CountDownLatch released = new CountDownLatch(1);
        AppenderBase<ILoggingEvent> blocking = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                try {
                    released.await();
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        blocking.setContext(context);
        blocking.start();
        BoundedAppender bounded = new BoundedAppender();
        bounded.setContext(context);
        bounded.setQueueSize(QUEUE_SIZE);
        bounded.addAppender(blocking);
        bounded.start();
        long before = BoundedAppender.droppedCount();
        for (int line = 0; line < LINE_COUNT; line++) {
            bounded.doAppend(new LoggingEvent("t", context.getLogger("t"), Level.INFO, "line", null, null));
        }
        long dropped = BoundedAppender.droppedCount() - before;
        released.countDown();
        bounded.stop();
        // The worker thread drains a whole queue before it blocks, so that up to two queues of lines are accepted.
        assertTrue(dropped >= LINE_COUNT - 2 * QUEUE_SIZE, "dropped " + dropped);
        assertTrue(dropped < LINE_COUNT, "dropped " + dropped);
    }
}
