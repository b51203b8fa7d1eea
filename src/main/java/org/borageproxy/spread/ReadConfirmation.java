package org.borageproxy.spread;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.borageproxy.log.ReplicatedLog;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;

/**
 * Batches confirmations of reads. A caller joins a confirmation that starts after its call, never one that is in
 * flight; at most one is in flight. Thread safe.
 */
final class ReadConfirmation {

    /** Maximum time for a confirmation. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(400);

    private final ReplicatedLog log;
    private final MonotonicClock clock;
    private boolean isInFlight;

    /** Result for the callers of the next confirmation, or {@code null} if there are none. */
    private CompletableFuture<Boolean> next;

    ReadConfirmation(ReplicatedLog log, MonotonicClock clock) {
        this.log = log;
        this.clock = clock;
    }

    /**
     * Confirms that the local state contains everything that was committed before the call. Completes with
     * {@code false} if this cannot be confirmed; never fails.
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

    /** Starts the next confirmation unless one is in flight or no caller waits. */
    private void startNext() {
        CompletableFuture<Boolean> batch;
        synchronized (this) {
            if (isInFlight || next == null) {
                return;
            }
            isInFlight = true;
            batch = next;
            next = null;
        }
        log.confirmRead(Deadline.after(clock.nanoTime(), CONFIRMATION_TIMEOUT)).whenComplete((confirmed, failure) -> {
            synchronized (this) {
                isInFlight = false;
            }
            startNext();
            batch.complete(failure == null && confirmed);
        });
    }
}
