package org.borageproxy.logging;

import java.nio.charset.StandardCharsets;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

/** Guards against log lines whose format differs from the one that {@link RequestLines} and operators' tools parse. */
class LineEncoderTest {

    private static final String PATTERN = "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z',UTC} level=%level logger=%logger{0}"
            + " %replace(%msg){'[\\r\\n]+',' '}%n";

    private final LoggerContext context = new LoggerContext();
    private final LineEncoder encoder = new LineEncoder();

    @Test
    void linesAreThoseOfThePattern() {
        assertSameLine("event=a count=7", 1_796_405_049_084L, null);
        assertSameLine("event=b reason=\"one\r\n\ntwo\nthree\"", 1_796_405_049_999L, null);
        assertSameLine("event=c umlaut=ü", 951_782_400_000L, null);
        assertSameLine("event=d", 0L, new IllegalStateException("outer", new IllegalArgumentException("inner")));
    }

    /** A missing entry in {@code META-INF/services} would silently give lines of another format, without a bound. */
    @Test
    void processIsConfiguredWithTheBoundedAppender() {
        LoggerContext current = assertInstanceOf(LoggerContext.class, org.slf4j.LoggerFactory.getILoggerFactory());
        assertInstanceOf(
                BoundedAppender.class,
                current.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).getAppender("BOUNDED"));
        assertNotNull(current.getLogger("io.netty").getLevel());
    }

    private void assertSameLine(String message, long epochMillis, Throwable failure) {
        PatternLayoutEncoder expected = new PatternLayoutEncoder();
        expected.setContext(context);
        expected.setCharset(StandardCharsets.UTF_8);
        expected.setPattern(PATTERN);
        expected.start();
        LoggingEvent event = new LoggingEvent(
                "", context.getLogger("org.borageproxy.wire.Some"), Level.WARN, message, failure, new Object[] {});
        event.setTimeStamp(epochMillis);
        assertEquals(text(expected.encode(event)), text(encode(event)));
    }

    private byte[] encode(ILoggingEvent event) {
        return encoder.encode(event);
    }

    private static String text(byte[] line) {
        return new String(line, StandardCharsets.UTF_8);
    }
}
