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
 * Relays the answer of a backend server to the caller. The head is sent with the first bytes of the body, so that an
 * answer without body bytes can still be replaced by that of another server. Not thread safe; confined to the event
 * loop of the request.
 */
final class ResponseRelay {

    private final HttpServerResponse response;
    private boolean hasBegun;
    private boolean isStreamed;

    ResponseRelay(HttpServerResponse response) {
        this.response = response;
    }

    boolean hasBegun() {
        return hasBegun;
    }

    /**
     * Sends a complete answer.
     *
     * @param head the head
     * @param body the whole body
     */
    void sendComplete(HttpResponse head, ByteBuf body) {
        writeHead(head);
        response.end(Buffer.buffer(ByteBufUtil.getBytes(body)));
    }

    /**
     * Sends a part of the body, preceded by the head on the first call.
     *
     * @param head the head; ignored after the first call
     * @param bytes the part; may be empty
     * @param length the content length of the whole body; empty for chunked transfer encoding
     */
    void sendPart(HttpResponse head, ByteBuf bytes, Optional<String> length) {
        if (!hasBegun) {
            writeHead(head);
            isStreamed = true;
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

    /** Ends a complete answer that was sent in parts. */
    void end() {
        response.end();
    }

    /** Resets the response, so that the caller can tell that the answer is incomplete. */
    void abort() {
        response.reset();
    }

    /**
     * Returns whether the caller reads more slowly than the server writes.
     *
     * @return {@code true} if reading from the server should pause
     */
    boolean isWriteQueueFull() {
        return isStreamed && response.writeQueueFull();
    }

    /**
     * Sets the action to run when the write queue has drained.
     *
     * @param resume resumes reading from the server
     */
    void onDrained(Runnable resume) {
        response.drainHandler(drained -> resume.run());
    }

    private void writeHead(HttpResponse head) {
        hasBegun = true;
        response.setStatusCode(head.status().code())
                .setStatusMessage(head.status().reasonPhrase());
        Set<String> connectionOptions =
                HopByHopHeaders.connectionOptions(head.headers().getAll(HttpHeaderNames.CONNECTION));
        for (Map.Entry<String, String> header : head.headers()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean isLength = name.contentEquals(HttpHeaderNames.CONTENT_LENGTH);
            if (!HopByHopHeaders.isHopByHop(name, connectionOptions) && !isLength) {
                response.headers().add(header.getKey(), header.getValue());
            }
        }
    }
}
