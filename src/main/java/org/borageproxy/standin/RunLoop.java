package org.borageproxy.standin;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.LoadReport;

/** Generates the tokens of an engine's batch, one for each running request in each step. Confined to one event loop. */
final class RunLoop {

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The event loops and timers. */
    private final Vertx vertx;
    /** How fast the engine works. */
    private final EngineTiming timing;
    /** The listening port with the fault switches. */
    private final StandInServer server;
    /** The requests. */
    private final RunBatch batch;
    /** The prompt prefixes kept. */
    private final PrefixCache cache = new PrefixCache();
    /** Whether the timer of the next step is set. */
    private boolean stepping;
    /** Whether this incarnation has ended. */
    private boolean ended;

    /**
     * Creates an idle loop.
     *
     * @param vertx the event loops and timers
     * @param timing how fast the engine works
     * @param server the listening port with the fault switches
     */
    RunLoop(Vertx vertx, EngineTiming timing, StandInServer server) {
        this.vertx = vertx;
        this.timing = timing;
        this.server = server;
        batch = new RunBatch(timing, this::prefillNanos);
    }

    /**
     * Begins a request.
     *
     * @param json the body of {@code POST /v1/run}
     * @param resident the model version that runs it
     * @param response where the answer goes
     */
    void begin(JsonObject json, Resident resident, HttpServerResponse response) {
        Run run = new Run(json, resident, timing.outputTokens(), response);
        response.exceptionHandler(failure -> run.cancelled = true);
        response.closeHandler(closed -> run.cancelled = true);
        server.whenAnswerIsDue(due -> {
            response.setChunked(true)
                    .putHeader("content-type", "application/x-ndjson")
                    .putHeader("borageproxy-request-id", identity(run));
            batch.add(run, System.nanoTime());
            schedule();
        });
    }

    /**
     * Returns the identity that the answer of a request carries.
     *
     * @param run the request
     * @return the request's identity, or that of another request if the fault is on
     */
    private String identity(Run run) {
        return server.faults().crossed() ? "crossed-" + run.requestIdentity : run.requestIdentity;
    }

    /**
     * Returns the time that a run's prompt takes.
     *
     * @param run the run
     * @return the time in nanoseconds
     */
    private long prefillNanos(Run run) {
        int known = cache.store(run.resident, run.prompt);
        int tokens = TokenText.count(run.prompt.substring(known));
        return (long) (tokens / timing.prefillTokensPerSecond() * NANOS_PER_SECOND);
    }

    /** Sets the timer of the next step if there is something to do. */
    private void schedule() {
        if (stepping || ended || batch.isEmpty()) {
            return;
        }
        stepping = true;
        vertx.setTimer(Math.max(1, timing.tokenMillis()), ignored -> {
            stepping = false;
            if (!ended) {
                batch.step(System.nanoTime()).forEach(this::emit);
                schedule();
            }
        });
    }

    /**
     * Sends the next token of a request, or the end of its answer.
     *
     * @param run the request
     */
    private void emit(Run run) {
        int sent = run.nextIndex - run.startIndex;
        Faults faults = server.faults();
        if (faults.cutAfterTokens() >= 0 && sent >= faults.cutAfterTokens()) {
            batch.remove(run);
            run.response.reset();
            return;
        }
        if (faults.truncateAfterTokens() >= 0 && sent >= faults.truncateAfterTokens()) {
            batch.remove(run);
            run.response.end();
            return;
        }
        if (run.isComplete()) {
            batch.remove(run);
            run.response.end(run.lastLine(identity(run)));
            return;
        }
        run.response.write(run.tokenLine(identity(run)));
        run.nextIndex++;
    }

    /**
     * Cancels a request and cuts its answer.
     *
     * @param requestIdentity the request's identity
     * @return whether it ran or waited
     */
    boolean cancel(String requestIdentity) {
        return batch.find(requestIdentity)
                .map(run -> {
                    run.cancelled = true;
                    run.response.reset();
                    return true;
                })
                .orElse(false);
    }

    /**
     * Tells whether requests of a model version run or wait.
     *
     * @param resident the model version
     * @return {@code true} if there are any
     */
    boolean uses(Resident resident) {
        return batch.all().stream().anyMatch(run -> run.resident == resident && !run.cancelled);
    }

    /**
     * Tells whether another request is refused.
     *
     * @return {@code true} if batch and queue are full
     */
    boolean isFull() {
        return batch.isFull();
    }

    /**
     * Returns the load as it is now.
     *
     * @return the load
     */
    LoadReport load() {
        return batch.load();
    }

    /**
     * Takes the cache events that were not published yet.
     *
     * @return the events
     */
    JsonArray takeCacheEvents() {
        return cache.takeEvents();
    }

    /** Ends this incarnation: nothing is generated any more. */
    void end() {
        ended = true;
    }
}
