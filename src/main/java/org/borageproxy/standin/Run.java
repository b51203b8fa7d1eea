package org.borageproxy.standin;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/** A request that runs in an engine's batch or waits for a place in it. Confined to one event loop. */
final class Run {

    final String requestIdentity;
    final ResidentModel resident;
    final String prompt;
    /** Requests of higher priority enter the batch first. */
    final int priority;
    /** Index of the first token to send; positive if an interrupted request is resumed. */
    final int startIndex;
    /** Index after the last token. */
    final int endIndex;
    /** Whether the request limits the answer to less than its natural length. */
    final boolean isLimited;

    final HttpServerResponse response;
    /** Index of the next token to send. */
    int nextIndex;
    /** Time at which the prompt is processed, in nanoseconds of the monotonic clock; set on entry into the batch. */
    long prefillEndNanos;
    /** Whether the request was cancelled or its connection closed. */
    boolean isCancelled;

    /**
     * Parses the body of {@code POST /v1/run}.
     *
     * @param outputTokens the length of an answer that the request does not limit
     */
    Run(JsonObject json, ResidentModel resident, int outputTokens, HttpServerResponse response) {
        this.resident = resident;
        this.response = response;
        requestIdentity = json.getString("request_id");
        prompt = json.getString("prompt");
        priority = json.getInteger("priority", 0);
        startIndex = json.getInteger("resume_from", 0);
        int maximum = json.getInteger("maximum_output_tokens", outputTokens);
        isLimited = maximum < outputTokens;
        endIndex = Math.min(maximum, outputTokens);
        nextIndex = startIndex;
    }

    /** Returns whether all tokens were sent. */
    boolean isComplete() {
        return nextIndex >= endIndex;
    }

    /**
     * Returns the line with the next token.
     *
     * @param identity the request identity to write, which a fault may falsify
     */
    String tokenLine(String identity) {
        return new JsonObject()
                        .put("request_id", identity)
                        .put("index", nextIndex)
                        .put("text", TokenText.tokenAt(prompt, nextIndex))
                        .encode()
                + "\n";
    }

    /**
     * Returns the line that ends a complete answer.
     *
     * @param identity the request identity to write, which a fault may falsify
     */
    String lastLine(String identity) {
        return new JsonObject()
                        .put("request_id", identity)
                        .put("done", true)
                        .put("finish_reason", isLimited ? "length" : "stop")
                        .put("prompt_tokens", TokenText.tokenCount(prompt))
                        .put("output_tokens", endIndex)
                        .encode()
                + "\n";
    }
}
