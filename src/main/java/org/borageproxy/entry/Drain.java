package org.borageproxy.entry;

import java.time.Duration;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.borageproxy.time.Deadline;

/**
 * A graceful shutdown of the callers' interface. It ends once no call is in flight and none has arrived for a while, so
 * that a request that is on its way over a kept connection is served, or at its deadline. Started once; confined to one
 * event loop afterwards.
 */
final class Drain {

    /** Milliseconds between looks at the calls in flight. */
    private static final long POLL_MILLIS = 25;
    /** How long no call must have arrived. */
    private static final Duration QUIET_TIME = Duration.ofMillis(500);
    /** The share of the time after which new calls are refused, as a divisor. */
    private static final int REFUSING_DIVISOR = 2;

    /** What handlers share. */
    private final EntryComponents parts;
    /** Where the interface stands. */
    private final DrainState state;
    /** When the shutdown ends in any case. */
    private final Deadline deadline;
    /** Stops the servers. */
    private final Supplier<Future<Void>> stop;
    /** Completes when the servers have stopped. */
    private final Promise<Void> whenStopped = Promise.promise();
    /** The calls that had begun at the last look. */
    private long begun;
    /** When no call will have arrived for long enough. */
    private Deadline quietAt;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param parts what handlers share
     * @param state where the interface stands
     * @param deadline when the shutdown ends in any case
     * @param stop stops the servers
     */
    Drain(EntryComponents parts, DrainState state, Deadline deadline, Supplier<Future<Void>> stop) {
        this.parts = parts;
        this.state = state;
        this.deadline = deadline;
        this.stop = stop;
    }

    /** Fails readiness and begins to look at the calls in flight. */
    void start() {
        state.advance(DrainState.Phase.NOTICE);
        long now = parts.dependencies().clock().nanoTime();
        quietAt = Deadline.after(now, QUIET_TIME);
        Deadline noticeEnd =
                Deadline.after(now, parts.settings().drainNoticePeriod()).earlierOf(deadline);
        Deadline half = Deadline.after(now, Duration.ofNanos(deadline.remainingNanos(now) / REFUSING_DIVISOR));
        Vertx vertx = parts.dependencies().vertx();
        vertx.setPeriodic(POLL_MILLIS, timer -> {
            long reading = parts.dependencies().clock().nanoTime();
            advance(noticeEnd, half, reading);
            if (isDone(reading)) {
                vertx.cancelTimer(timer);
                stop.get().onComplete(stopped -> whenStopped.tryComplete());
            }
        });
    }

    /**
     * Goes on to the phase of the time.
     *
     * @param noticeEnd when the notice ends
     * @param half when new calls are refused
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    private void advance(Deadline noticeEnd, Deadline half, long nowNanos) {
        if (noticeEnd.hasPassed(nowNanos)) {
            state.advance(half.hasPassed(nowNanos) ? DrainState.Phase.REFUSING : DrainState.Phase.CLOSING);
        }
    }

    /**
     * Tells whether the servers may stop.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if nothing is in flight and nothing arrives any more, or if the deadline has passed
     */
    private boolean isDone(long nowNanos) {
        if (deadline.hasPassed(nowNanos)) {
            return true;
        }
        if (state.startedCalls() != begun || state.inFlight() > 0) {
            begun = state.startedCalls();
            quietAt = Deadline.after(nowNanos, QUIET_TIME);
        }
        return state.isClosingConnections() && quietAt.hasPassed(nowNanos);
    }

    /**
     * Returns the end of the shutdown.
     *
     * @return completes when the servers have stopped
     */
    Future<Void> whenStopped() {
        return whenStopped.future();
    }
}
