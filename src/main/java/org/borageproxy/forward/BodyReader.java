package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.borageproxy.buffer.BufferAccount;
import org.borageproxy.buffer.BufferOwner;
import org.borageproxy.buffer.Reservation;
import org.borageproxy.buffer.Shortage;
import org.borageproxy.time.Deadline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the body of one request as far as the buffer account permits. While there is no room, the connection is not
 * read; a request for which no room can come in time is refused at once. Bytes are reserved as they arrive, whatever
 * length the head states. The listener is called at most once. Not thread safe; confined to the event loop of the
 * request.
 */
final class BodyReader {

    private static final Logger LOGGER = LoggerFactory.getLogger(BodyReader.class);

    /** Time for which the rest of a body is discarded that was not read for want of room until its deadline. */
    private static final Duration DISCARD_TIME = Duration.ofMillis(500);

    /** Digits of a length that fit into a number. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private final ForwardContext context;
    private final HttpServerRequest request;
    private final String identity;
    private final int maximumBytes;
    private final Listener listener;
    private final Reservation reservation;
    private final BufferOwner owner;
    private final BodyParts parts = new BodyParts();
    private Optional<BufferAccount.Waiter> waiter = Optional.empty();
    private ScheduledFuture<?> deadlineTimer;
    /** The refusal that is sent once the rest of the body was discarded. */
    private Optional<Runnable> pendingRefusal = Optional.empty();

    private int receivedBytes;
    private boolean isOver;

    /** Receives the body or the reason for which it is not read. */
    interface Listener {

        /**
         * Called with the whole body.
         *
         * @param body the body
         * @param reservation holds its bytes; must be released
         */
        void onBody(byte[] body, Reservation reservation);

        /**
         * Called if the request must be refused; nothing is reserved any more.
         *
         * @param reason the reason
         * @param retryAfter the time after which a retry may succeed; empty if a retry is not advised
         */
        void onRefused(RefusalReason reason, Optional<Duration> retryAfter);
    }

    private BodyReader(
            ForwardContext context,
            HttpServerRequest request,
            String identity,
            BufferOwner owner,
            int maximumBytes,
            Listener listener) {
        this.context = context;
        this.request = request;
        this.identity = identity;
        this.owner = owner;
        this.maximumBytes = maximumBytes;
        this.listener = listener;
        this.reservation = context.buffers().open(owner);
    }

    /**
     * Begins to read a body.
     *
     * @param context the collaborators of forwarding
     * @param request the request, of whose body nothing was read
     * @param identity the identity of the request, for logs
     * @param owner for whom the body is buffered
     * @param maximumBytes the maximum size of a body
     * @param listener receives the outcome, possibly before this method returns
     */
    static void read(
            ForwardContext context,
            HttpServerRequest request,
            String identity,
            BufferOwner owner,
            int maximumBytes,
            Listener listener) {
        new BodyReader(context, request, identity, owner, maximumBytes, listener).begin();
    }

    private void begin() {
        request.exceptionHandler(failure -> {
            LOGGER.debug("event=request-incomplete", failure);
            stop();
            parts.clear();
            reservation.release();
        });
        request.handler(this::handlePart);
        request.endHandler(end -> handleEnd());
        boolean hasBody = request.getHeader("content-length") != null || request.getHeader("transfer-encoding") != null;
        if (!hasBody) {
            return;
        }
        expireAt(deadline());
        reservation.allowEviction(shortage -> refuse(RefusalReason.BUFFER_FULL, Optional.of(shortage.roomAfter())));
        if (context.buffers().mayBegin(owner)) {
            reservation.expect(announcedBytes());
        } else {
            awaitOrRefuse(
                    context.buffers().mayBeginAfter(owner),
                    true,
                    () -> waiter = Optional.of(context.buffers().awaitBeginning(owner, this::beginLater)));
        }
    }

    private void expireAt(Deadline end) {
        long nanos = end.remainingNanos(context.clock().nanoTime());
        deadlineTimer = context.eventLoop().schedule(this::expire, nanos, TimeUnit.NANOSECONDS);
    }

    private Deadline deadline() {
        return owner.cost().deadline();
    }

    private void awaitOrRefuse(Duration roomAfter, boolean mayWait, Runnable startWait) {
        boolean isInTime =
                roomAfter.toNanos() < deadline().remainingNanos(context.clock().nanoTime());
        LOGGER.info(
                "event=body-not-read id={} workspace={} received_bytes={} waits={} room_after_ms={} held_bytes={}",
                identity,
                owner.workspace().isEmpty() ? "-" : owner.workspace(),
                receivedBytes,
                mayWait && isInTime,
                roomAfter.toMillis(),
                context.buffers().heldBytes());
        if (mayWait && isInTime) {
            pause();
            startWait.run();
        } else {
            refuse(RefusalReason.BUFFER_FULL, Optional.of(roomAfter));
        }
    }

    /**
     * Stops to read the connection at once. The pause of the request alone would let it read on until a queue of many
     * parts is full, for each caller that waits.
     */
    private void pause() {
        ForwardServer.channelOf(request.connection()).config().setAutoRead(false);
        request.pause();
    }

    private void readOn() {
        request.resume();
        if (waiter.isEmpty()) {
            ForwardServer.channelOf(request.connection()).config().setAutoRead(true);
        }
    }

    private void beginLater() {
        waiter = Optional.empty();
        reservation.expect(announcedBytes());
        readOn();
    }

    /** Returns the length of the body that the head states, as far as it may be read; zero if it states none. */
    private long announcedBytes() {
        String length = Optional.ofNullable(request.getHeader("content-length")).orElse("");
        boolean isNumber = !length.isEmpty()
                && length.length() < MAX_LENGTH_DIGITS
                && length.chars().allMatch(each -> each >= '0' && each <= '9');
        return isNumber ? Math.min(maximumBytes, Long.parseLong(length)) : 0;
    }

    private void handlePart(Buffer part) {
        if (isOver) {
            return;
        }
        if (receivedBytes + part.length() > maximumBytes) {
            refuse(RefusalReason.BODY_TOO_LARGE, Optional.empty());
            return;
        }
        keep(part.getBytes());
    }

    private void keep(byte[] part) {
        Optional<Shortage> shortage = reservation.grow(part.length);
        if (shortage.isEmpty()) {
            receivedBytes += part.length;
            parts.add(part);
            return;
        }
        if (receivedBytes + part.length > context.buffers().limits().totalBytes()) {
            refuse(RefusalReason.BODY_TOO_LARGE, Optional.empty());
            return;
        }
        awaitOrRefuse(
                shortage.get().roomAfter(),
                shortage.get().mayWait(),
                () -> waiter =
                        Optional.of(context.buffers().awaitRoom(reservation, part.length, () -> keepAndResume(part))));
    }

    private void keepAndResume(byte[] part) {
        waiter = Optional.empty();
        keep(part);
        if (waiter.isEmpty()) {
            readOn();
        }
    }

    private void handleEnd() {
        if (isOver) {
            cancelTimer();
            sendPendingRefusal();
            return;
        }
        stop();
        reservation.forbidEviction();
        // Nothing is kept here, since the connection refers to this reader until its next request.
        listener.onBody(parts.take(), reservation);
    }

    private void stop() {
        isOver = true;
        cancelTimer();
        waiter.ifPresent(context.buffers()::cancel);
        waiter = Optional.empty();
    }

    private void cancelTimer() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
    }

    private void sendPendingRefusal() {
        Optional<Runnable> refusal = pendingRefusal;
        pendingRefusal = Optional.empty();
        refusal.ifPresent(Runnable::run);
    }

    /**
     * Refuses the request. The rest of the body is read and discarded, so that the caller receives the answer. A
     * connection that is to end with the answer would be closed before that and reset by what the caller still sends,
     * so that its answer has to wait.
     */
    private void refuse(RefusalReason reason, Optional<Duration> retryAfter) {
        if (isOver) {
            return;
        }
        isOver = true;
        waiter.ifPresent(context.buffers()::cancel);
        waiter = Optional.empty();
        parts.clear();
        reservation.release();
        pendingRefusal = Optional.of(() -> listener.onRefused(reason, retryAfter));
        if (!"close".equalsIgnoreCase(request.getHeader("connection")) || reason == RefusalReason.BODY_INCOMPLETE) {
            sendPendingRefusal();
        }
        readOn();
    }

    /**
     * Ends a body that is incomplete at the deadline, and the connection with it. The caller may have sent all of a
     * body that was not read for want of room: it is refused like others for which there is none.
     */
    private void expire() {
        if (waiter.isPresent()) {
            expireAt(Deadline.after(context.clock().nanoTime(), DISCARD_TIME));
            awaitOrRefuse(context.buffers().mayBeginAfter(owner), false, () -> {});
            return;
        }
        LOGGER.info("event=body-incomplete id={} received_bytes={}", identity, receivedBytes);
        if (isOver) {
            request.response().endHandler(ended -> request.connection().close());
            sendPendingRefusal();
            request.connection().close();
        } else {
            request.response().putHeader("connection", "close").endHandler(ended -> request.connection()
                    .close());
            refuse(RefusalReason.BODY_INCOMPLETE, Optional.empty());
        }
    }
}
