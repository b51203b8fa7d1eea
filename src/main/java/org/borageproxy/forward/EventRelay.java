package org.borageproxy.forward;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.stream.EventSequence;

/**
 * Relays the answers that contribute to one request: streams event by event, with the head of the answer that began the
 * stream, and plain answers as they arrive. Not thread safe; confined to one event loop.
 */
final class EventRelay {

    private final BufferedRequest buffered;
    private final ResumableStream stream;
    private final ResponseRelay relay;
    private final EventSequence events;
    private final PartialEventMemory partialEvent;
    private Optional<HttpResponse> firstHead = Optional.empty();

    EventRelay(BufferedRequest buffered, ResumableStream stream, ResponseRelay relay) {
        this.buffered = buffered;
        this.stream = stream;
        this.relay = relay;
        this.partialEvent = new PartialEventMemory(buffered.reservation());
        boolean isTakenUp = stream.isTakenUp();
        this.events =
                new EventSequence(isTakenUp, isTakenUp ? buffered.metadata().lastEventIdentity() : Optional.empty());
    }

    EventSequence events() {
        return events;
    }

    /** Begins a further answer. */
    EventSequence.Kind begin(HttpResponse head) {
        return buffered.route().repeatability().isStream()
                ? events.begin(head.status().code(), contentType(head))
                : EventSequence.Kind.PLAIN;
    }

    private static Optional<String> contentType(HttpResponse head) {
        return Optional.ofNullable(head.headers().get(HttpHeaderNames.CONTENT_TYPE));
    }

    /** Describes an answer that is no part of the stream, for logs. */
    static String describeForeign(HttpResponse head) {
        return "status " + head.status().code() + " and media type "
                + contentType(head).orElse("-") + " to a resumed stream";
    }

    /** Relays the whole events that the bytes complete, and returns whether there are any. */
    boolean relayEvents(ByteBuf bytes, ReceivedAnswer answer, BackendServer server) {
        byte[] wholeEvents = events.append(bytes.nioBuffer());
        if (!partialEvent.hold(events.heldBytes())) {
            events.refuse("no room for a large event");
        }
        if (wholeEvents.length == 0) {
            return false;
        }
        if (firstHead.isEmpty()) {
            firstHead = answer.head();
            stream.recordEvent(server);
        }
        relayPart(Unpooled.wrappedBuffer(wholeEvents), answer);
        return true;
    }

    /** Relays a part of the body. */
    void relayPart(ByteBuf bytes, ReceivedAnswer answer) {
        relay.sendPart(
                firstHead.or(answer::head).get(), bytes, stream.isResumable() ? Optional.empty() : answer.length());
    }

    /** Returns whether an answer that breaks off can be continued by another one. */
    boolean canContinue() {
        return !relay.hasBegun() || events.eventCount() > 0 && stream.isResumable();
    }

    /** Ends a complete answer. */
    void end(ReceivedAnswer answer) {
        if (!relay.hasBegun()) {
            relay.sendPart(
                    answer.head().orElseThrow(), Unpooled.wrappedBuffer(events.takeComments()), Optional.empty());
        }
        relay.end();
    }
}
