package org.borageproxy.command;

import java.util.concurrent.CompletionStage;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;

/** Flushes the asynchronous log queue before the process exits. Stateless and thread safe. */
final class LogFlush {

    private LogFlush() {}

    /**
     * Waits until a shutdown is complete, then writes the queued log lines and stops logging.
     *
     * @param stopped completes when the shutdown is complete
     */
    static void flushAfter(CompletionStage<Void> stopped) {
        stopped.toCompletableFuture().join();
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }
}
