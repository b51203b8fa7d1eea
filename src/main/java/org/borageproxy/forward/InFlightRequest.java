package org.borageproxy.forward;

import java.util.Optional;

import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerLoad;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.routing.speed.PauseMeter;
import org.borageproxy.time.MonotonicClock;

/** Tracks one request in flight at a server. Not thread safe; confined to one event loop. */
final class InFlightRequest {

    /** Age below which a request without a response is never overdue. */
    private static final double MIN_OVERDUE_MILLIS = 1_000.0;
    /** Multiple of the expected time after which a request without a response is overdue. */
    private static final double OVERDUE_FACTOR = 4.0;
    /** Prompt tokens that a server reads for others, from which times show its load instead of its speed. */
    private static final int MAX_OTHER_PROMPT_TOKENS = 200;

    private final MonotonicClock clock;
    private final ServerLoad load;
    private final ServerSelector.Choice choice;
    private final Optional<EngineWork> work;
    private final ModelLatencyRatios latencyRatios;
    private final Runnable loadChangeListener;
    private final long startedAtNanos;
    private final PauseMeter pauses = new PauseMeter();
    private final long bodyBytes;
    /** Whether the server read hardly any prompts of other requests when this one was sent. */
    private final boolean isFirstEventTelling;

    private boolean hasResponded;
    private boolean hasEnded;

    /**
     * Records the start of a request.
     *
     * @param clock the clock
     * @param load the load of the server
     * @param choice the selected server
     * @param work the inference work; empty for a plain service
     * @param latencyRatios receives the observed latency
     * @param bodyBytes the size of the body, which the server holds
     * @param loadChangeListener called when the response has begun and when the request has ended
     */
    InFlightRequest(
            MonotonicClock clock,
            ServerLoad load,
            ServerSelector.Choice choice,
            Optional<EngineWork> work,
            ModelLatencyRatios latencyRatios,
            long bodyBytes,
            Runnable loadChangeListener) {
        this.clock = clock;
        this.load = load;
        this.choice = choice;
        this.work = work;
        this.latencyRatios = latencyRatios;
        this.loadChangeListener = loadChangeListener;
        this.bodyBytes = bodyBytes;
        this.startedAtNanos = clock.nanoTime();
        this.isFirstEventTelling = !isReadingPrompts();
        load.recordStart(choice.prefillTokens(), reservedTokens());
        load.addHeldBytes(bodyBytes);
    }

    private boolean isReadingPrompts() {
        return load.totalPrefillTokens() > MAX_OTHER_PROMPT_TOKENS;
    }

    private int reservedTokens() {
        return work.map(EngineWork::totalTokens).orElse(0);
    }

    /**
     * Records that the response has begun, by its first bytes or its end. Has no effect on further calls or after
     * {@link #recordEnd}.
     *
     * @param service the service, whose latency ratio is updated if the request has no inference work
     * @param isSuccess whether the time of the response shows the speed of the server; that of an error does not
     */
    void recordResponse(String service, boolean isSuccess) {
        if (hasResponded || hasEnded) {
            return;
        }
        hasResponded = true;
        load.recordPrefillEnd(choice.prefillTokens());
        double millis = (clock.nanoTime() - startedAtNanos) / 1e6;
        double ratio = ModelLatencyRatios.clamp(millis / Math.max(1.0, choice.expectedMillis()));
        if (isSuccess && isFirstEventTelling) {
            load.slowness().recordFirstEvent(millis / Math.max(1.0, choice.expectedMillis() * choice.speed()));
        }
        load.recordSuccess(ratio);
        latencyRatios.recordObservation(work.map(EngineWork::model).orElse(service), ratio);
        loadChangeListener.run();
    }

    /**
     * Records that events of the response arrived.
     *
     * @param totalEvents the number of events so far
     * @param isCallerSlow whether reading is suspended until the caller has taken more, so that the next pause says
     *     nothing about the server
     */
    void recordEvents(int totalEvents, boolean isCallerSlow) {
        if (isCallerSlow || work.isEmpty() || isReadingPrompts()) {
            pauses.discard();
        } else {
            double stepMillis = ServerSelector.stepMillis(load)
                    * latencyRatios.of(work.get().model());
            pauses.recordEvents(totalEvents, clock.nanoTime(), stepMillis, load.slowness());
        }
    }

    /** Records the end of the request, whatever its outcome; later calls have no effect. */
    void recordEnd() {
        if (!hasEnded) {
            hasEnded = true;
            if (!hasResponded) {
                load.recordPrefillEnd(choice.prefillTokens());
            }
            load.recordEnd(reservedTokens());
            load.addHeldBytes(-bodyBytes);
            loadChangeListener.run();
        }
    }

    /**
     * Returns whether the request has had no response for much longer than expected.
     *
     * @return {@code true} if the server should be treated as failing
     */
    boolean isOverdue() {
        double overdueMillis = Math.max(MIN_OVERDUE_MILLIS, choice.expectedMillis() * OVERDUE_FACTOR);
        return !hasResponded && ageMillis() >= overdueMillis;
    }

    /** Records a failure of the server, and the end of the request if it was not recorded before. */
    void recordFailure() {
        load.recordFailure(clock.nanoTime());
        if (!hasEnded) {
            load.recordLostBytes(bodyBytes);
        }
        recordEnd();
    }

    /**
     * Returns when the request was sent.
     *
     * @return the clock reading in nanoseconds
     */
    long startedAtNanos() {
        return startedAtNanos;
    }

    /**
     * Returns the time since the request was sent.
     *
     * @return the time in milliseconds
     */
    long ageMillis() {
        return (clock.nanoTime() - startedAtNanos) / 1_000_000L;
    }
}
