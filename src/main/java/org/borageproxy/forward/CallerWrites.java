package org.borageproxy.forward;

import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFuture;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import org.borageproxy.buffer.Delivery;

/**
 * Accounts for the parts of an answer that its caller has not taken yet, and disconnects a caller that takes nothing.
 * An answer that is taken at once costs nothing. Not thread safe; confined to the event loop of the request.
 */
final class CallerWrites {

    private final ForwardContext context;
    private final BufferedRequest buffered;
    private final RequestLog log;
    private final HttpServerResponse response;
    private Optional<Delivery> delivery = Optional.empty();
    private Optional<Runnable> drainedListener = Optional.empty();
    /** Disconnects the caller; kept until the answer is delivered. */
    private Optional<ScheduledFuture<?>> stallTimer = Optional.empty();

    private boolean isComplete;

    CallerWrites(ForwardContext context, BufferedRequest buffered, RequestLog log) {
        this.context = context;
        this.buffered = buffered;
        this.log = log;
        this.response = buffered.request().response();
    }

    /**
     * Accounts for a write until the connection has passed it on or was closed.
     *
     * @param written completes then
     * @param bytes the size of the write
     */
    void track(Future<Void> written, int bytes) {
        if (!written.isComplete() && bytes > 0) {
            Delivery current = recordQueued(bytes);
            written.onComplete(result -> handleTaken(current, bytes));
        }
    }

    /**
     * Accounts for a write past Vert.x until the connection has passed it on or was closed.
     *
     * @param written completes then
     * @param bytes the size of the write, not zero
     */
    void track(ChannelFuture written, int bytes) {
        if (!written.isDone()) {
            Delivery current = recordQueued(bytes);
            written.addListener(result -> handleTaken(current, bytes));
        }
    }

    private Delivery recordQueued(int bytes) {
        Delivery current = delivery.orElseGet(this::begin);
        current.recordQueued(bytes, context.clock().nanoTime());
        return current;
    }

    private Delivery begin() {
        Delivery begun = new Delivery(
                context.buffers().open(buffered.owner()),
                context.buffers().limits().spoolBytes(),
                buffered.deadline());
        delivery = Optional.of(begun);
        return begun;
    }

    private void handleTaken(Delivery current, int bytes) {
        boolean resumes = current.recordTaken(bytes, context.clock().nanoTime());
        if (resumes) {
            Optional<Runnable> listener = drainedListener;
            drainedListener = Optional.empty();
            listener.ifPresent(Runnable::run);
        }
        if (isComplete && current.unsentBytes() == 0) {
            end(current);
        }
    }

    private void end(Delivery ended) {
        ended.end();
        delivery = Optional.empty();
        stallTimer.ifPresent(timer -> timer.cancel(false));
        stallTimer = Optional.empty();
    }

    /** Returns whether reading from the server must pause. */
    boolean isPaused() {
        return delivery.map(Delivery::isPaused).orElse(false);
    }

    /**
     * Sets the action to run when reading from the server may resume.
     *
     * @param resume resumes reading; called at most once
     */
    void onDrained(Runnable resume) {
        if (drainedListener.isEmpty()) {
            log.readingPaused(delivery.map(Delivery::unsentBytes).orElse(0L));
        }
        drainedListener = Optional.of(resume);
    }

    /** Records that the whole answer was written or will never be; what is left of it is delivered. */
    void complete() {
        buffered.body().release();
        isComplete = true;
        drainedListener = Optional.empty();
        delivery.ifPresent(current -> {
            if (current.unsentBytes() == 0) {
                end(current);
            } else {
                scheduleCheck(current);
            }
        });
    }

    private void scheduleCheck(Delivery current) {
        long nanos = current.disconnectAt().remainingNanos(context.clock().nanoTime());
        stallTimer = Optional.of(
                context.eventLoop().schedule(() -> disconnectIfStalled(current), nanos, TimeUnit.NANOSECONDS));
    }

    private void disconnectIfStalled(Delivery current) {
        if (delivery.isEmpty() || response.closed()) {
            return;
        }
        if (current.disconnectAt().hasPassed(context.clock().nanoTime())) {
            log.callerDisconnected(current.unsentBytes());
            buffered.request().connection().close();
        } else {
            scheduleCheck(current);
        }
    }
}
