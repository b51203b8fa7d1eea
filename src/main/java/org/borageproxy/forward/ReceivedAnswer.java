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
    private long receivedBytes;

    /**
     * Creates an answer of which nothing was received. What was kept of an earlier answer is no longer accounted for.
     *
     * @param buffered the request, to whose reservation the bytes that are kept are added
     */
    ReceivedAnswer(BufferedRequest buffered) {
        this.reservation = buffered.reservation();
        reservation.shrink(reservation.bytes() - buffered.body().length());
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
        int added = bytes.readableBytes();
        body.writeBytes(bytes);
        return reservation.record(added);
    }

    int keptBytes() {
        return body.readableBytes();
    }

    /** Returns the kept body and keeps nothing further. */
    ByteBuf takeBody() {
        ByteBuf taken = body;
        body = Unpooled.EMPTY_BUFFER;
        reservation.shrink(taken.readableBytes());
        return taken;
    }

    Optional<String> length() {
        return Optional.ofNullable(head.orElseThrow().headers().get(HttpHeaderNames.CONTENT_LENGTH));
    }

    /** Returns whether only the end of the connection marks that of the answer. */
    boolean isUnframed() {
        return length().isEmpty() && !HttpUtil.isTransferEncodingChunked(head.orElseThrow());
    }
}
