package org.borageproxy.standin;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.LoadReport;

/**
 * Generates the answers of an engine's requests: each step sends one token of each request in the batch. One instance
 * serves one incarnation. Confined to one event loop.
 */
final class GenerationLoop {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Vertx vertx;
    private final EngineTiming timing;
    private final StandInServer server;
    private final RunBatch batch;
    private final PrefixCache cache = new PrefixCache();
    private boolean isStepScheduled;
    private boolean isClosed;

    /**
     * Creates an idle loop.
     *
     * @param server the server whose faults apply
     */
    GenerationLoop(Vertx vertx, EngineTiming timing, StandInServer server) {
        this.vertx = vertx;
        this.timing = timing;
        this.server = server;
        batch = new RunBatch(timing, this::startPrefill);
    }

    /**
     * Starts a request, or queues it if the batch is full; the response delay fault applies before.
     *
     * @param json the body of {@code POST /v1/run}
     * @param resident the model version to run
     * @param response receives the answer
     */
    void begin(JsonObject json, ResidentModel resident, HttpServerResponse response) {
        Run run = new Run(json, resident, timing.outputTokens(), response);
        response.exceptionHandler(failure -> run.isCancelled = true);
        response.closeHandler(closed -> run.isCancelled = true);
        server.runAfterResponseDelay(ignored -> {
            response.setChunked(true)
                    .putHeader("content-type", "application/x-ndjson")
                    .putHeader("borageproxy-request-id", responseIdentity(run));
            batch.add(run, System.nanoTime());
            scheduleStep();
        });
    }

    private String responseIdentity(Run run) {
        return server.faults().crossed() ? "crossed-" + run.requestIdentity : run.requestIdentity;
    }

    /**
     * Caches the prompt and returns the prefill time in nanoseconds. Only the part of the prompt after the longest
     * prefix that was cached before takes time.
     */
    private long startPrefill(Run run) {
        int cachedCharacters = cache.store(run.resident, run.prompt);
        int tokens = TokenText.tokenCount(run.prompt.substring(cachedCharacters));
        return (long) (tokens / timing.prefillTokensPerSecond() * NANOS_PER_SECOND);
    }

    private void scheduleStep() {
        if (isStepScheduled || isClosed || batch.isEmpty()) {
            return;
        }
        isStepScheduled = true;
        vertx.setTimer(Math.max(1, timing.tokenMillis()), ignored -> {
            isStepScheduled = false;
            if (!isClosed) {
                batch.step(System.nanoTime()).forEach(this::sendNextToken);
                scheduleStep();
            }
        });
    }

    private void sendNextToken(Run run) {
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
            run.response.end(run.lastLine(responseIdentity(run)));
            return;
        }
        run.response.write(run.tokenLine(responseIdentity(run)));
        run.nextIndex++;
    }

    /**
     * Cancels a request and resets its response.
     *
     * @param requestIdentity the request's identity
     * @return whether the request was running or waiting
     */
    boolean cancel(String requestIdentity) {
        return batch.findRequest(requestIdentity)
                .map(run -> {
                    run.isCancelled = true;
                    run.response.reset();
                    return true;
                })
                .orElse(false);
    }

    /** Returns whether requests of a model version run or wait. */
    boolean hasRequestsOf(ResidentModel resident) {
        return batch.allRequests().stream().anyMatch(run -> run.resident == resident && !run.isCancelled);
    }

    /** Returns whether both batch and queue are full, so that another request has to be refused. */
    boolean isFull() {
        return batch.isFull();
    }

    LoadReport currentLoad() {
        return batch.currentLoad();
    }

    /** Returns the cache events that were not published yet and removes them. */
    JsonArray drainCacheEvents() {
        return cache.drainEvents();
    }

    /** Ends the incarnation: no further tokens are generated. */
    void close() {
        isClosed = true;
    }
}
