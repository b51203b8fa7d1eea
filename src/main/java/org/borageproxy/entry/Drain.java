package org.borageproxy.entry;

import java.time.Duration;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.borageproxy.time.Deadline;

/**
 * A graceful shutdown of the server for callers. It ends once no call is in flight and none has arrived for a quiet
 * period, so that a request already sent on a kept-alive connection is served, or at the deadline. Started once;
 * confined to one event loop afterwards.
 */
final class Drain {

    private static final long POLL_INTERVAL_MILLIS = 25;
    /** How long no call must have arrived before the servers stop. */
    private static final Duration QUIET_PERIOD = Duration.ofMillis(500);
    /** New calls are refused after the time until the deadline divided by this number. */
    private static final int REFUSING_TIME_DIVISOR = 2;

    private final EntryComponents components;
    private final DrainState state;
    private final Deadline deadline;
    private final Supplier<Future<Void>> stopServers;
    private final Promise<Void> whenStopped = Promise.promise();
    private long previousStartedCalls;
    private Deadline quietDeadline;

    Drain(EntryComponents components, DrainState state, Deadline deadline, Supplier<Future<Void>> stopServers) {
        this.components = components;
        this.state = state;
        this.deadline = deadline;
        this.stopServers = stopServers;
    }

    /** Starts the shutdown. Readiness fails immediately. */
    void start() {
        state.advance(DrainState.Phase.NOTICE);
        long now = components.dependencies().clock().nanoTime();
        quietDeadline = Deadline.after(now, QUIET_PERIOD);
        Deadline noticeEnd =
                Deadline.after(now, components.settings().drainNoticePeriod()).earlierOf(deadline);
        Deadline refuseAt = Deadline.after(now, Duration.ofNanos(deadline.remainingNanos(now) / REFUSING_TIME_DIVISOR));
        Vertx vertx = components.dependencies().vertx();
        vertx.setPeriodic(POLL_INTERVAL_MILLIS, timer -> {
            long nowNanos = components.dependencies().clock().nanoTime();
            advancePhase(noticeEnd, refuseAt, nowNanos);
            if (isDone(nowNanos)) {
                vertx.cancelTimer(timer);
                stopServers.get().onComplete(stopped -> whenStopped.tryComplete());
            }
        });
    }

    private void advancePhase(Deadline noticeEnd, Deadline refuseAt, long nowNanos) {
        if (noticeEnd.hasPassed(nowNanos)) {
            state.advance(refuseAt.hasPassed(nowNanos) ? DrainState.Phase.REFUSING : DrainState.Phase.CLOSING);
        }
    }

    /**
     * Returns whether the servers may stop.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return {@code true} if the quiet period has passed without calls in flight, or if the deadline has passed
     */
    private boolean isDone(long nowNanos) {
        if (deadline.hasPassed(nowNanos)) {
            return true;
        }
        if (state.startedCalls() != previousStartedCalls || state.inFlight() > 0) {
            previousStartedCalls = state.startedCalls();
            quietDeadline = Deadline.after(nowNanos, QUIET_PERIOD);
        }
        return state.isClosingConnections() && quietDeadline.hasPassed(nowNanos);
    }

    /**
     * Returns the completion of the shutdown.
     *
     * @return completes when the servers have stopped
     */
    Future<Void> whenStopped() {
        return whenStopped.future();
    }
}
