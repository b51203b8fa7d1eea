package org.borageproxy.command;

import java.util.concurrent.CompletionStage;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;

/** Writes the lines that the log still queues when a process ends. Stateless and thread safe. */
final class LogFlush {

    private LogFlush() {}

    /**
     * Waits for the end of a process's work and writes what its log queues.
     *
     * @param stopped completes when the work has ended
     */
    static void after(CompletionStage<Void> stopped) {
        stopped.toCompletableFuture().join();
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }
}
