package org.borageproxy.forward;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.borageproxy.buffer.Reservation;

/**
 * What one attempt has received of its answer. The body is kept until it is complete, as far as it is not relayed
 * before. Not thread safe; confined to one event loop.
 */
final class ReceivedAnswer {

    private final Reservation reservation;
    private Optional<HttpResponse> head = Optional.empty();
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    /** What the kept body takes up, which is up to twice its size. */
    private int reservedBytes;

    private long receivedBytes;

    /**
     * Creates an answer of which nothing was received.
     *
     * @param reservation the reservation of the request, to which the memory of the body that is kept is added
     */
    ReceivedAnswer(Reservation reservation) {
        this.reservation = reservation;
    }

    /** Sets the head, after which the body may be added. */
    void setHead(HttpResponse response) {
        head = Optional.of(response);
        body = Unpooled.buffer();
    }

    Optional<HttpResponse> head() {
        return head;
    }

    int status() {
        return head.orElseThrow().status().code();
    }

    boolean isSuccess() {
        return head.orElseThrow().status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /** Counts bytes of the body, whether or not they are kept. */
    void count(ByteBuf bytes) {
        receivedBytes += bytes.readableBytes();
    }

    long receivedBytes() {
        return receivedBytes;
    }

    /**
     * Adds a copy of bytes to the body that is kept.
     *
     * @return whether more may be kept; otherwise the body must be taken
     */
    boolean keep(ByteBuf bytes) {
        body.writeBytes(bytes);
        int added = body.capacity() - reservedBytes;
        reservedBytes += added;
        return reservation.record(added);
    }

    int keptBytes() {
        return body.readableBytes();
    }

    /** Returns the kept body and keeps nothing further. */
    ByteBuf takeBody() {
        ByteBuf taken = body;
        discardBody();
        return taken;
    }

    /** Drops the kept body and returns its memory to the account; has no effect if none is kept. */
    void discardBody() {
        body = Unpooled.EMPTY_BUFFER;
        reservation.shrink(reservedBytes);
        reservedBytes = 0;
    }

    Optional<String> length() {
        return Optional.ofNullable(head.orElseThrow().headers().get(HttpHeaderNames.CONTENT_LENGTH));
    }

    /** Returns whether only the end of the connection marks that of the answer. */
    boolean isUnframed() {
        return length().isEmpty() && !HttpUtil.isTransferEncodingChunked(head.orElseThrow());
    }
}
