package org.borageproxy.forward;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/**
 * Passes the answer of a backend server back to the caller. Its head is sent with the first bytes of its body, so that
 * an answer that never begins can still be replaced. Used by the event loop of the request.
 */
final class ResponseRelay {

    private final HttpServerResponse response;
    private boolean begun;
    private boolean streamed;

    ResponseRelay(HttpServerResponse response) {
        this.response = response;
    }

    boolean hasBegun() {
        return begun;
    }

    /**
     * Passes a whole answer on.
     *
     * @param head its head
     * @param body its body
     */
    void sendComplete(HttpResponse head, ByteBuf body) {
        begin(head);
        response.end(Buffer.buffer(ByteBufUtil.getBytes(body)));
    }

    /**
     * Passes bytes of an answer on, after its head.
     *
     * @param head the head
     * @param bytes the bytes
     * @param length the length that the answer's head states
     */
    void sendPart(HttpResponse head, ByteBuf bytes, Optional<String> length) {
        if (!begun) {
            begin(head);
            streamed = true;
            if (length.isPresent()) {
                response.putHeader(HttpHeaderNames.CONTENT_LENGTH, length.get());
            } else {
                response.setChunked(true);
            }
        }
        if (bytes.isReadable()) {
            response.write(Buffer.buffer(ByteBufUtil.getBytes(bytes)));
        }
    }

    /** Ends a streamed answer that is whole. */
    void end() {
        response.end();
    }

    /** Breaks an answer off so that the caller sees that it is not whole. */
    void abort() {
        response.reset();
    }

    /**
     * Tells whether the caller reads more slowly than the server writes.
     *
     * @return {@code true} if reading should pause
     */
    boolean isWriteQueueFull() {
        return streamed && response.writeQueueFull();
    }

    /**
     * Sets what runs when the caller has read enough.
     *
     * @param resume resumes reading
     */
    void onDrained(Runnable resume) {
        response.drainHandler(drained -> resume.run());
    }

    private void begin(HttpResponse head) {
        begun = true;
        response.setStatusCode(head.status().code())
                .setStatusMessage(head.status().reasonPhrase());
        Set<String> declared = HopByHopHeaders.connectionOptions(head.headers().getAll(HttpHeaderNames.CONNECTION));
        for (Map.Entry<String, String> header : head.headers()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean isLength = name.contentEquals(HttpHeaderNames.CONTENT_LENGTH);
            if (!HopByHopHeaders.isHopByHop(name, declared) && !isLength) {
                response.headers().add(header.getKey(), header.getValue());
            }
        }
    }
}
