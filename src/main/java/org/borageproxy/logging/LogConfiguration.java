package org.borageproxy.logging;

import java.util.Optional;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging without a file, since interpreting one takes a tenth of the CPU time of the start of a process.
 * Found by Logback through {@code META-INF/services}. The system property or environment variable
 * {@code BORAGEPROXY_LOG_STREAM} selects {@code System.out} or {@code System.err} (the default),
 * {@code BORAGEPROXY_LOG_LEVEL} the level of our loggers (default {@code INFO}). Stateless and thread safe.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogConfiguration extends ContextAwareBase implements Configurator {

    private static final String STREAM_VARIABLE = "BORAGEPROXY_LOG_STREAM";
    private static final String LEVEL_VARIABLE = "BORAGEPROXY_LOG_LEVEL";
    private static final int QUEUED_LINES = 4096;

    /** Creates a configurator; called by Logback. */
    public LogConfiguration() {
        // The service loader needs a public constructor.
    }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        ConsoleAppender<ILoggingEvent> stream = new ConsoleAppender<>();
        stream.setContext(context);
        stream.setName("STREAM");
        stream.setTarget(variable(STREAM_VARIABLE).orElse("System.err"));
        LineEncoder encoder = new LineEncoder();
        encoder.setContext(context);
        encoder.start();
        stream.setEncoder(encoder);
        stream.start();
        // Logging never blocks the calling thread: lines that do not fit the queue are dropped and counted.
        BoundedAppender bounded = new BoundedAppender();
        bounded.setContext(context);
        bounded.setName("BOUNDED");
        bounded.setQueueSize(QUEUED_LINES);
        bounded.addAppender(stream);
        bounded.start();
        context.getLogger("io.netty").setLevel(Level.WARN);
        context.getLogger("io.vertx").setLevel(Level.WARN);
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(variable(LEVEL_VARIABLE).orElse(""), Level.INFO));
        root.addAppender(bounded);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static Optional<String> variable(String name) {
        return Optional.ofNullable(System.getProperty(name))
                .or(() -> Optional.ofNullable(System.getenv(name)))
                .filter(value -> !value.isEmpty());
    }
}
