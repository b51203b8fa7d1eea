package org.borageproxy.forward;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.borageproxy.entry.ChunkWriter;

/**
 * Relays the answer of a backend server to the caller. The head is sent with the first bytes of the body, so that an
 * answer without body bytes can still be replaced by that of another server. Not thread safe; confined to the event
 * loop of the request.
 */
final class ResponseRelay {

    /** Size of the parts in which a complete answer is written, so that memory is returned as the caller takes them. */
    private static final int PART_BYTES = 32 << 10;

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final CallerWrites writes;
    private boolean hasBegun;
    private boolean isStreamed;
    /** The latest write of a part by Vert.x; empty before the first one. */
    private Optional<Future<Void>> lastWrite = Optional.empty();
    /** Writes the further parts; empty while Vert.x does. */
    private Optional<ChunkWriter> chunks = Optional.empty();
    /** Whether parts may be written past Vert.x once it has nothing left to write. */
    private boolean mayWriteChunks = true;

    ResponseRelay(HttpServerRequest request, CallerWrites writes) {
        this.request = request;
        this.response = request.response();
        this.writes = writes;
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
        if (body.readableBytes() > PART_BYTES) {
            response.putHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.readableBytes()));
            while (body.readableBytes() > PART_BYTES) {
                write(body.readSlice(PART_BYTES));
            }
        }
        int lastBytes = body.readableBytes();
        writes.track(response.end(Buffer.buffer(ByteBufUtil.getBytes(body))), lastBytes);
    }

    private Future<Void> write(ByteBuf bytes) {
        int size = bytes.readableBytes();
        Future<Void> written = response.write(Buffer.buffer(ByteBufUtil.getBytes(bytes)));
        writes.track(written, size);
        return written;
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
        if (!bytes.isReadable()) {
            return;
        }
        if (mayWriteChunks && lastWrite.isPresent() && lastWrite.get().succeeded()) {
            chunks = ChunkWriter.of(request);
            mayWriteChunks = false;
        }
        if (chunks.isPresent()) {
            int size = bytes.readableBytes();
            writes.track(chunks.get().write(bytes), size);
        } else {
            lastWrite = Optional.of(write(bytes));
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
     * Returns whether the caller reads so slowly that no more of the answer may be buffered.
     *
     * @return {@code true} if reading from the server should pause
     */
    boolean isWriteQueueFull() {
        return isStreamed && writes.isPaused();
    }

    /**
     * Sets the action to run when more of the answer may be buffered.
     *
     * @param resume resumes reading from the server
     */
    void onDrained(Runnable resume) {
        writes.onDrained(resume);
    }

    /** Returns the memory of the request, and that of the answer as the caller takes what is left of it. */
    void releaseBuffers() {
        writes.complete();
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
