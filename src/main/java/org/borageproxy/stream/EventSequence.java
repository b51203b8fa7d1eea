package org.borageproxy.stream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * The events of one server-sent event stream that a caller gets, over all answers that contribute to it. Decides which
 * bytes of an answer are passed on: whole events, the identity of each being a whole number above that of the event
 * before, in this answer, in an earlier one or in the request of a caller that takes the stream up. Identities may skip
 * numbers, since an event can stand for several tokens. An answer that breaks these rules has a fault from there on; it
 * does not continue the stream, since its events may be those of another run. Not thread safe.
 */
public final class EventSequence {

    /** What the head of an answer allows. */
    public enum Kind {
        /** The body is passed on event by event. */
        EVENTS,
        /** The answer is no part of a stream, and no stream has begun; it is passed on unchanged or not at all. */
        PLAIN,
        /** The answer is no part of the stream that has begun, and must not be passed on. */
        FOREIGN
    }

    private static final int MAX_PENDING_BYTES = 1 << 20;
    private static final int INITIAL_CAPACITY = 256;
    /** Digits of a number that always fits into a {@code long}. */
    private static final int MAX_IDENTITY_DIGITS = 18;

    private static final int OK_STATUS = 200;
    private static final int FIRST_REDIRECTION_STATUS = 300;
    private static final String EVENT_STREAM = "text/event-stream";
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COLON = ':';
    private static final byte[] NO_BYTES = {};
    private static final long NO_IDENTITY = -1;
    private static final int DECIMAL = 10;

    private final boolean isTakenUp;
    private long lastIdentity;
    private int eventCount;
    /** The media type of the answer that began the stream; empty if it stated none. */
    private Optional<String> beginningMediaType = Optional.empty();

    private Optional<String> answerMediaType = Optional.empty();
    private boolean hasAnswerEvent;
    private Optional<String> fault = Optional.empty();

    private byte[] pending = NO_BYTES;
    private int size;
    private int scanPosition;
    private int lineStart;
    private int blockStart;
    /** End of the bytes that may be passed on. */
    private int wholeEnd;

    private boolean hasField;
    private long identity = NO_IDENTITY;

    /**
     * Creates the sequence of a stream of which the request has brought no event yet.
     *
     * @param isTakenUp whether the caller has a part of the stream from an earlier request
     * @param takenUpAfter the identity of the last event that the caller has; sets no bound if it is no whole number
     */
    public EventSequence(boolean isTakenUp, Optional<String> takenUpAfter) {
        this.isTakenUp = isTakenUp;
        this.lastIdentity = takenUpAfter.map(EventSequence::parseIdentity).orElse(NO_IDENTITY);
    }

    private static long parseIdentity(String text) {
        byte[] bytes = text.trim().getBytes(StandardCharsets.UTF_8);
        return parseIdentity(bytes, 0, bytes.length);
    }

    /**
     * Begins a further answer; what is left of the one before is discarded. An answer without a media type is a stream
     * unless the answer that began the stream stated one.
     *
     * @param status the HTTP status
     * @param contentType the value of the content type field; empty if there is none
     * @return what the answer is
     */
    public Kind begin(int status, Optional<String> contentType) {
        discardPending();
        fault = Optional.empty();
        hasAnswerEvent = false;
        answerMediaType = contentType.map(EventSequence::withoutParameters);
        boolean isEventStream =
                answerMediaType.map(EVENT_STREAM::equals).orElse(eventCount == 0 || beginningMediaType.isEmpty());
        if (status == OK_STATUS && isEventStream) {
            return Kind.EVENTS;
        }
        boolean isSuccess = status >= OK_STATUS && status < FIRST_REDIRECTION_STATUS;
        return eventCount > 0 || isTakenUp && isSuccess ? Kind.FOREIGN : Kind.PLAIN;
    }

    private static String withoutParameters(String contentType) {
        int end = contentType.indexOf(';');
        return (end < 0 ? contentType : contentType.substring(0, end)).trim().toLowerCase(Locale.ROOT);
    }

    /**
     * Appends bytes of the current answer. Comments are passed on after the first event of the answer, and those before
     * it together with it, so that nothing of an answer is passed on that brings no event.
     *
     * @param bytes the bytes, which are consumed
     * @return the bytes that may be passed on now; may be empty
     */
    public byte[] append(ByteBuffer bytes) {
        int added = bytes.remaining();
        if (fault.isEmpty() && size + added > MAX_PENDING_BYTES) {
            fault = Optional.of("stream event exceeds " + MAX_PENDING_BYTES + " bytes");
        }
        if (fault.isPresent()) {
            return NO_BYTES;
        }
        if (size + added > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(INITIAL_CAPACITY, Math.max(size + added, 2 * size)));
        }
        bytes.get(pending, size, added);
        size += added;
        while (scanPosition < size && fault.isEmpty()) {
            if (pending[scanPosition] == LINE_FEED) {
                endLine(scanPosition);
            }
            scanPosition++;
        }
        return takeWhole();
    }

    private byte[] takeWhole() {
        int taken = wholeEnd;
        if (taken == 0) {
            return NO_BYTES;
        }
        byte[] whole = Arrays.copyOf(pending, taken);
        System.arraycopy(pending, taken, pending, 0, size - taken);
        size -= taken;
        scanPosition -= taken;
        lineStart -= taken;
        blockStart -= taken;
        wholeEnd = 0;
        return whole;
    }

    private void endLine(int position) {
        boolean endsWithReturn = position > lineStart && pending[position - 1] == CARRIAGE_RETURN;
        int end = endsWithReturn ? position - 1 : position;
        boolean isBlank = end == lineStart;
        if (!isBlank) {
            readLine(lineStart, end);
        } else if (hasField) {
            endEvent();
        }
        lineStart = position + 1;
        if (isBlank) {
            blockStart = lineStart;
            wholeEnd = hasAnswerEvent && fault.isEmpty() ? lineStart : wholeEnd;
        }
    }

    /** Reads a comment, which begins with a colon, or a field. */
    private void readLine(int start, int end) {
        int nameEnd = start;
        while (nameEnd < end && isNameByte(pending[nameEnd])) {
            nameEnd++;
        }
        if (nameEnd == end || pending[nameEnd] != COLON) {
            fault = Optional.of("line without a field in the event after " + lastIdentity);
            return;
        }
        hasField |= nameEnd > start;
        if (isIdentityField(start, nameEnd)) {
            int valueStart = nameEnd + 1 < end && pending[nameEnd + 1] == ' ' ? nameEnd + 2 : nameEnd + 1;
            long parsed = parseIdentity(pending, valueStart, end);
            if (parsed == NO_IDENTITY || identity != NO_IDENTITY) {
                fault = Optional.of("malformed or repeated identity in the event after " + lastIdentity);
            }
            identity = parsed;
        }
    }

    /** Accepts the lower case names of the fields of event streams, which excludes lines of a head or of JSON. */
    private static boolean isNameByte(byte value) {
        return value >= 'a' && value <= 'z' || value == '-';
    }

    private boolean isIdentityField(int start, int end) {
        return end - start == 2 && pending[start] == 'i' && pending[start + 1] == 'd';
    }

    private static long parseIdentity(byte[] bytes, int start, int end) {
        int digits = end - start;
        boolean hasLeadingZero = digits > 1 && bytes[start] == '0';
        if (digits < 1 || digits > MAX_IDENTITY_DIGITS || hasLeadingZero) {
            return NO_IDENTITY;
        }
        long value = 0;
        for (int index = start; index < end; index++) {
            int digit = bytes[index] - '0';
            if (digit < 0 || digit >= DECIMAL) {
                return NO_IDENTITY;
            }
            value = value * DECIMAL + digit;
        }
        return value;
    }

    private void endEvent() {
        if (identity == NO_IDENTITY) {
            fault = Optional.of("event without an identity after " + lastIdentity);
        } else if (identity <= lastIdentity) {
            fault = Optional.of("event " + identity + " after " + lastIdentity);
        } else {
            lastIdentity = identity;
            if (eventCount == 0) {
                beginningMediaType = answerMediaType;
            }
            eventCount++;
            hasAnswerEvent = true;
        }
        hasField = false;
        identity = NO_IDENTITY;
    }

    /**
     * Returns why the current answer does not continue the stream after the bytes that were passed on.
     *
     * @return the reason, for logs; empty if there is none
     */
    public Optional<String> fault() {
        return fault;
    }

    /**
     * Returns why the stream is not complete at the end of the current answer.
     *
     * @param isUnframed whether only the end of the connection marks that of the answer
     * @return the reason, for logs; empty if the stream is complete
     */
    public Optional<String> endFault(boolean isUnframed) {
        if (fault.isPresent()) {
            return fault;
        }
        if (hasPartialEvent()) {
            return Optional.of("answer ended within an event");
        }
        return !hasAnswerEvent && (isUnframed || eventCount > 0)
                ? Optional.of("answer ended without an event")
                : Optional.empty();
    }

    /**
     * Returns whether the current answer has sent a part of an event only.
     *
     * @return {@code true} within an event
     */
    public boolean hasPartialEvent() {
        return size > blockStart;
    }

    /**
     * Returns the memory that bytes take up which are not passed on yet.
     *
     * @return the size in bytes
     */
    public int heldBytes() {
        return pending.length;
    }

    /**
     * Refuses what the current answer sends from here on.
     *
     * @param reason the reason, for logs
     */
    public void refuse(String reason) {
        fault = Optional.of(reason);
        discardPending();
    }

    /**
     * Returns the comments of an answer without events.
     *
     * @return the bytes, which are not returned again
     */
    public byte[] takeComments() {
        wholeEnd = blockStart;
        return takeWhole();
    }

    /** Discards what the current answer has sent after its last whole event. */
    public void discardPending() {
        pending = NO_BYTES;
        size = 0;
        scanPosition = 0;
        lineStart = 0;
        blockStart = 0;
        wholeEnd = 0;
        hasField = false;
        identity = NO_IDENTITY;
    }

    /**
     * Returns the identity of the last event that was passed on.
     *
     * @return empty if there is none
     */
    public Optional<String> lastEventIdentity() {
        return eventCount > 0 ? Optional.of(Long.toString(lastIdentity)) : Optional.empty();
    }

    /**
     * Returns the number of events that were passed on.
     *
     * @return the number over all answers
     */
    public int eventCount() {
        return eventCount;
    }
}
