package org.borageproxy.spread;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.borageproxy.log.ReplicatedLog;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;

/**
 * Confirms reads in batches: a caller joins a confirmation that starts after its call, never one under way, and at most
 * one is under way. Safe for use by any thread.
 */
final class ReadConfirmation {

    /** The longest time that a confirmation may take. */
    private static final Duration PATIENCE = Duration.ofMillis(400);

    /** This VM's member of the control group. */
    private final ReplicatedLog log;

    /** The clock. */
    private final MonotonicClock clock;

    /** Whether a confirmation is under way. */
    private boolean isUnderWay;

    /** The result for the callers of the next confirmation, or {@code null}. */
    private CompletableFuture<Boolean> next;

    /**
     * Creates a confirmation.
     *
     * @param log this VM's member of the control group
     * @param clock the clock
     */
    ReadConfirmation(ReplicatedLog log, MonotonicClock clock) {
        this.log = log;
        this.clock = clock;
    }

    /**
     * Confirms that the state holds everything that was committed before the call.
     *
     * @return whether this is confirmed; never fails
     */
    CompletionStage<Boolean> confirm() {
        CompletableFuture<Boolean> result;
        synchronized (this) {
            if (next == null) {
                next = new CompletableFuture<>();
            }
            result = next;
        }
        startNext();
        return result;
    }

    /** Starts the next confirmation if none is under way. */
    private void startNext() {
        CompletableFuture<Boolean> batch;
        synchronized (this) {
            if (isUnderWay || next == null) {
                return;
            }
            isUnderWay = true;
            batch = next;
            next = null;
        }
        log.confirmRead(Deadline.after(clock.nanoTime(), PATIENCE)).whenComplete((confirmed, failure) -> {
            synchronized (this) {
                isUnderWay = false;
            }
            startNext();
            batch.complete(failure == null && confirmed);
        });
    }
}
