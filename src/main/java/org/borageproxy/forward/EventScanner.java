package org.borageproxy.forward;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.borageproxy.buffer.Reservation;

/**
 * Splits a server-sent event stream at event boundaries and tracks the identity of the last complete event, so that a
 * stream can resume on another server without a partial event having been relayed. Not thread safe.
 */
final class EventScanner {

    private static final int MAX_PENDING_BYTES = 1 << 20;
    /** Size up to which a partial event is kept whatever room there is: events of sound servers are smaller. */
    private static final int SMALL_EVENT_BYTES = 16 << 10;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] IDENTITY_FIELD = {'i', 'd', ':'};

    private final ByteBuf pending = Unpooled.buffer();
    private int reservedBytes;
    private int lineStart;
    private int scanPosition;
    private int eventCount;
    private String eventIdentity = "";
    private Optional<String> lastEventIdentity = Optional.empty();

    /**
     * Appends bytes of the stream.
     *
     * @param bytes the bytes, which are consumed
     * @return the bytes up to the end of the last complete event that have not been returned yet; may be empty
     * @throws IllegalStateException if the pending and the appended bytes together exceed the limit
     */
    ByteBuf append(ByteBuf bytes) {
        if (pending.readableBytes() + bytes.readableBytes() > MAX_PENDING_BYTES) {
            throw new IllegalStateException("Stream event exceeds " + MAX_PENDING_BYTES + " bytes");
        }
        pending.writeBytes(bytes);
        int completeEnd = 0;
        while (scanPosition < pending.writerIndex()) {
            boolean isLineEnd = pending.getByte(scanPosition) == LINE_FEED;
            scanPosition++;
            if (isLineEnd && endsEvent(scanPosition)) {
                completeEnd = scanPosition;
            }
        }
        ByteBuf completeEvents = pending.copy(0, completeEnd);
        pending.readerIndex(completeEnd);
        pending.discardReadBytes();
        scanPosition -= completeEnd;
        lineStart -= completeEnd;
        return completeEvents;
    }

    /**
     * Adds the memory of the partial event to a reservation.
     *
     * @param reservation the reservation of the request
     * @throws IllegalStateException if the event is large and there is no room for it
     */
    void reserve(Reservation reservation) {
        int added = pending.capacity() - reservedBytes;
        reservedBytes += added;
        if (added > 0 && !reservation.record(added) && pending.readableBytes() > SMALL_EVENT_BYTES) {
            throw new IllegalStateException("No room for a stream event of more than " + SMALL_EVENT_BYTES + " bytes");
        }
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
     * Returns the identity of the last complete event.
     *
     * @return empty if no complete event had an identity
     */
    Optional<String> lastEventIdentity() {
        return lastEventIdentity;
    }

    /**
     * Returns the number of complete events.
     *
     * @return the number since the creation of the scanner
     */
    int eventCount() {
        return eventCount;
    }

    /**
     * Returns whether bytes of an incomplete event are pending.
     *
     * @return {@code true} within an event
     */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /** Discards the bytes of an incomplete event, before the stream resumes on another server. */
    void discardPartialEvent() {
        pending.clear();
        scanPosition = 0;
        lineStart = 0;
        eventIdentity = "";
    }
}
