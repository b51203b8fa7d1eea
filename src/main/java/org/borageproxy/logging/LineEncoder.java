package org.borageproxy.logging;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;

/**
 * Encodes a log event as one line of {@code time=}, {@code level=}, {@code logger=} and the message, whose line breaks
 * become spaces, followed by the stack trace if there is one. Written by hand, because compiling and running a pattern
 * costs a short-lived process much more. Used by one thread at a time, that of the asynchronous appender.
 */
final class LineEncoder extends EncoderBase<ILoggingEvent> {

    private static final byte[] NONE = {};
    private static final long MILLIS_PER_SECOND = 1000;
    private static final int PART_DIGITS = 2;
    private static final int MILLI_DIGITS = 3;
    private static final int YEAR_DIGITS = 4;

    private long cachedSecond = Long.MIN_VALUE;
    /** The date and time of {@link #cachedSecond} up to the decimal point. */
    private String cachedTime = "";

    @Override
    public byte[] headerBytes() {
        return NONE;
    }

    @Override
    public byte[] footerBytes() {
        return NONE;
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        StringBuilder line = new StringBuilder(256).append("time=");
        appendTime(line, event.getTimeStamp());
        String logger = event.getLoggerName();
        line.append(" level=")
                .append(event.getLevel())
                .append(" logger=")
                .append(logger, logger.lastIndexOf('.') + 1, logger.length())
                .append(' ');
        appendOneLine(line, String.valueOf(event.getFormattedMessage()));
        line.append(System.lineSeparator());
        if (event.getThrowableProxy() != null) {
            line.append(ThrowableProxyUtil.asString(event.getThrowableProxy()));
        }
        return line.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void appendTime(StringBuilder line, long epochMillis) {
        long second = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
        if (second != cachedSecond) {
            cachedSecond = second;
            cachedTime = format(LocalDateTime.ofInstant(Instant.ofEpochSecond(second), ZoneOffset.UTC));
        }
        line.append(cachedTime).append('.');
        appendNumber(line, (int) Math.floorMod(epochMillis, MILLIS_PER_SECOND), MILLI_DIGITS);
        line.append('Z');
    }

    private static String format(LocalDateTime time) {
        StringBuilder text = new StringBuilder();
        appendNumber(text, time.getYear(), YEAR_DIGITS);
        appendNumber(text.append('-'), time.getMonthValue(), PART_DIGITS);
        appendNumber(text.append('-'), time.getDayOfMonth(), PART_DIGITS);
        appendNumber(text.append('T'), time.getHour(), PART_DIGITS);
        appendNumber(text.append(':'), time.getMinute(), PART_DIGITS);
        appendNumber(text.append(':'), time.getSecond(), PART_DIGITS);
        return text.toString();
    }

    private static void appendNumber(StringBuilder text, int number, int digits) {
        String shown = Integer.toString(number);
        text.append("0".repeat(Math.max(0, digits - shown.length()))).append(shown);
    }

    /** Appends a message with each sequence of line breaks replaced by one space. */
    private static void appendOneLine(StringBuilder line, String message) {
        if (message.indexOf('\n') < 0 && message.indexOf('\r') < 0) {
            line.append(message);
            return;
        }
        boolean isInBreak = false;
        for (int index = 0; index < message.length(); index++) {
            char next = message.charAt(index);
            boolean isBreak = next == '\n' || next == '\r';
            if (!isBreak) {
                line.append(next);
            } else if (!isInBreak) {
                line.append(' ');
            }
            isInBreak = isBreak;
        }
    }
}
