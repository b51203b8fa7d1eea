package org.borageproxy.forward;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts the bytes of an event stream after its last whole event and remembers that event's identity, so that a stream
 * can go on elsewhere without a part of an event being passed on. Not thread safe.
 */
final class EventScanner {

    private static final int MOST_PENDING_BYTES = 1 << 20;
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] IDENTITY_FIELD = {'i', 'd', ':'};

    private final ByteBuf pending = Unpooled.buffer();
    private int lineStart;
    private int scanned;
    private int eventCount;
    private String eventIdentity = "";
    private Optional<String> lastEventIdentity = Optional.empty();

    /**
     * Takes bytes of the stream.
     *
     * @param bytes the bytes, read fully
     * @return the bytes up to the end of the last whole event; may be empty
     */
    ByteBuf append(ByteBuf bytes) {
        if (pending.readableBytes() + bytes.readableBytes() > MOST_PENDING_BYTES) {
            throw new IllegalStateException("An event exceeds " + MOST_PENDING_BYTES + " bytes");
        }
        pending.writeBytes(bytes);
        int wholeEnd = 0;
        while (scanned < pending.writerIndex()) {
            boolean lineEnds = pending.getByte(scanned) == LINE_FEED;
            scanned++;
            if (lineEnds && endsEvent(scanned)) {
                wholeEnd = scanned;
            }
        }
        ByteBuf whole = pending.copy(0, wholeEnd);
        pending.readerIndex(wholeEnd);
        pending.discardReadBytes();
        scanned -= wholeEnd;
        lineStart -= wholeEnd;
        return whole;
    }

    private boolean endsEvent(int lineEnd) {
        int end = lineEnd - 1;
        if (end > lineStart && pending.getByte(end - 1) == CARRIAGE_RETURN) {
            end--;
        }
        boolean isBlank = end == lineStart;
        if (isBlank) {
            eventCount++;
            if (!eventIdentity.isEmpty()) {
                lastEventIdentity = Optional.of(eventIdentity);
            }
        } else if (startsWithIdentity(end)) {
            int from = lineStart + IDENTITY_FIELD.length;
            eventIdentity = pending.toString(from, end - from, java.nio.charset.StandardCharsets.UTF_8)
                    .trim();
        }
        lineStart = lineEnd;
        return isBlank;
    }

    private boolean startsWithIdentity(int end) {
        if (end - lineStart < IDENTITY_FIELD.length) {
            return false;
        }
        for (int index = 0; index < IDENTITY_FIELD.length; index++) {
            if (pending.getByte(lineStart + index) != IDENTITY_FIELD[index]) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the identity of the last whole event.
     *
     * @return empty if no event with an identity came
     */
    Optional<String> lastEventIdentity() {
        return lastEventIdentity;
    }

    /**
     * Returns the number of whole events.
     *
     * @return the number so far
     */
    int eventCount() {
        return eventCount;
    }

    /**
     * Tells whether bytes of an unfinished event are held.
     *
     * @return {@code true} in the middle of an event
     */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /** Forgets the part of an event that will not be completed. */
    void discardPartialEvent() {
        pending.clear();
        scanned = 0;
        lineStart = 0;
        eventIdentity = "";
    }
}
