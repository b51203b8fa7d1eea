package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;

/**
 * Decides for one request whether it may be sent in spite of its suspects, and whether it may have crashed a server
 * that ended: only until a server has survived the beginning of its answer. A trial permits one sending. Not thread
 * safe; confined to the event loop of the request.
 */
final class CrashEvidence {

    /** Time after the first event of an answer in which the server may still crash because of it. */
    private static final Duration BEGINNING = Duration.ofMillis(250);

    private final SuspectRequests registry;
    private final CrashSuspects suspects;
    private final MonotonicClock clock;
    /** The end of the beginning of the current attempt's answer; empty before its first event. */
    private Optional<Deadline> beginningEndsAt = Optional.empty();

    /** The permission to be sent once although a suspect is quarantined; empty after the sending. */
    private Optional<SuspectTrial> trial = Optional.empty();

    private boolean isHarmless;
    private boolean hasEnded;

    CrashEvidence(SuspectRequests registry, CrashSuspects suspects, MonotonicClock clock) {
        this.registry = registry;
        this.suspects = suspects;
        this.clock = clock;
    }

    /** Returns whether the request must not be sent. */
    boolean isQuarantined() {
        return trial.isEmpty() && registry.isQuarantined(suspects);
    }

    /**
     * Decides whether the request may be sent. A quarantined one may be if it gets a trial.
     *
     * @param onPermitted called if it may be, possibly before this method returns
     * @param onQuarantined called if it must not be; neither is called after the end of the request
     */
    void decide(Runnable onPermitted, Runnable onQuarantined) {
        if (!isQuarantined()) {
            onPermitted.run();
            return;
        }
        registry.requestTrial(suspects, granted -> {
            if (hasEnded) {
                granted.ifPresent(registry::giveBack);
                return;
            }
            trial = granted;
            (granted.isPresent() ? onPermitted : onQuarantined).run();
        });
    }

    /** Records the end of the request. */
    void recordEnd() {
        hasEnded = true;
        trial.ifPresent(registry::giveBack);
        trial = Optional.empty();
    }

    /** Returns the reason, for logs, for which the request must not be sent; empty if it may be sent. */
    Optional<String> obstacle() {
        return isQuarantined() ? Optional.of("request was quarantined before it was sent") : Optional.empty();
    }

    /** Records that the request is sent to a server. */
    void recordAttempt() {
        trial = Optional.empty();
        beginningEndsAt = Optional.empty();
    }

    /** Records a complete event of the current attempt's answer. */
    void recordEvent() {
        long nowNanos = clock.nanoTime();
        if (beginningEndsAt.isEmpty()) {
            beginningEndsAt = Optional.of(Deadline.after(nowNanos, BEGINNING));
        } else if (beginningEndsAt.get().hasPassed(nowNanos)) {
            recordSuccess();
        }
    }

    /** Records that the current attempt was answered completely and with success. */
    void recordSuccess() {
        if (!isHarmless) {
            isHarmless = true;
            registry.reportHarmless(suspects);
        }
    }

    /**
     * Records that the connection to a server was lost before the end of its answer.
     *
     * @param server the server
     */
    void recordConnectionLoss(BackendServer server) {
        if (!isHarmless) {
            registry.reportConnectionLoss(suspects, server);
        }
    }
}
