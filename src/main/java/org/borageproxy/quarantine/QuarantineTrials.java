package org.borageproxy.quarantine;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToLongFunction;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.borageproxy.control.TrialDecision;
import org.borageproxy.execution.Fingerprint;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Trials of quarantined suspects that this VM asks the control group for. For the same suspects at most one question is
 * pending, and none is asked before the time that the last answer named, unless their suspicion has been published anew
 * since; requests are refused meanwhile. A trial that was not used is kept for a short time for the next request with
 * these suspects. Not thread safe; confined to the event loop of the requests.
 */
final class QuarantineTrials {

    private static final Logger LOGGER = LoggerFactory.getLogger(QuarantineTrials.class);

    /** Time for which an unused trial can be used; ends before the control group grants another one. */
    private static final Duration UNUSED_RETENTION = Duration.ofSeconds(3);
    /** Minimum time between two questions about the same suspects. */
    private static final Duration MIN_WAIT = Duration.ofMillis(100);
    /** Longest time for which an answer is remembered; bounds the memory of suspects that do not come again. */
    private static final Duration MAX_WAIT = Duration.ofMinutes(10);
    /** Bound of each of the two caches. */
    private static final int MAX_REMEMBERED = 5_000;
    /** Bound of the questions that are pending; further requests are refused. */
    private static final int MAX_PENDING = 64;

    private final Function<List<Fingerprint>, CompletionStage<TrialDecision>> controlGroup;
    private final ToLongFunction<Fingerprint> publishedVersion;
    private final MonotonicClock clock;
    private final Executor eventLoop;
    private final Set<List<Fingerprint>> pending = new HashSet<>();
    private final Cache<List<Fingerprint>, Wait> waits;
    private final Cache<List<Fingerprint>, Boolean> unused;

    /**
     * The time before which the control group would grant no trial.
     *
     * @param askAgainAt that time
     * @param version the version at which a suspicion of the suspects had been published last
     */
    private record Wait(Deadline askAgainAt, long version) {}

    /**
     * Creates trials of one VM.
     *
     * @param controlGroup asks the control group for a trial of the suspects of one request
     * @param publishedVersion returns the version at which a suspicion was published last, zero if it is not published
     * @param clock the monotonic clock
     * @param eventLoop runs tasks on the event loop of the requests
     */
    QuarantineTrials(
            Function<List<Fingerprint>, CompletionStage<TrialDecision>> controlGroup,
            ToLongFunction<Fingerprint> publishedVersion,
            MonotonicClock clock,
            Executor eventLoop) {
        this.controlGroup = controlGroup;
        this.publishedVersion = publishedVersion;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.waits = rememberFor(MAX_WAIT);
        this.unused = rememberFor(UNUSED_RETENTION);
    }

    private <T> Cache<List<Fingerprint>, T> rememberFor(Duration retention) {
        return Caffeine.newBuilder()
                .ticker(clock::nanoTime)
                .maximumSize(MAX_REMEMBERED)
                .expireAfterWrite(retention)
                .build();
    }

    /**
     * Acquires a trial of a request.
     *
     * @param suspects all quarantined suspects of the request, in a fixed order
     * @param listener receives whether the request may be sent once, possibly before this method returns
     */
    void acquire(List<Fingerprint> suspects, Consumer<Boolean> listener) {
        if (unused.asMap().remove(suspects) != null) {
            listener.accept(true);
            return;
        }
        if (mustWait(suspects) || pending.size() >= MAX_PENDING || !pending.add(suspects)) {
            listener.accept(false);
            return;
        }
        long version = publishedVersion(suspects);
        controlGroup
                .apply(suspects)
                .thenAcceptAsync(decision -> decide(suspects, version, decision, listener), eventLoop);
    }

    private boolean mustWait(List<Fingerprint> suspects) {
        Wait wait = waits.getIfPresent(suspects);
        return wait != null
                && wait.version() == publishedVersion(suspects)
                && !wait.askAgainAt().hasPassed(clock.nanoTime());
    }

    private long publishedVersion(List<Fingerprint> suspects) {
        return suspects.stream().mapToLong(publishedVersion).max().orElse(0);
    }

    private void decide(List<Fingerprint> suspects, long version, TrialDecision decision, Consumer<Boolean> listener) {
        pending.remove(suspects);
        long nowNanos = clock.nanoTime();
        Deadline earliest = Deadline.after(nowNanos, MIN_WAIT);
        Deadline next = decision.askAgainAt().compareTo(earliest) < 0 ? earliest : decision.askAgainAt();
        waits.put(suspects, new Wait(next, version));
        LOGGER.info(
                "event=quarantine-trial suspects={} granted={} ask_again_ms={}",
                Fingerprints.join(suspects),
                decision.isGranted(),
                next.remainingMillis(nowNanos));
        listener.accept(decision.isGranted());
    }

    /**
     * Returns a trial that was acquired and not used.
     *
     * @param suspects the suspects for which it was acquired
     */
    void giveBack(List<Fingerprint> suspects) {
        unused.put(suspects, true);
    }
}
