package org.borageproxy.standin;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/** A request that an engine runs or that waits for a place in its batch. Confined to one event loop. */
final class Run {

    /** The request's identity. */
    final String requestIdentity;
    /** The model version that runs it. */
    final Resident resident;
    /** The prompt. */
    final String prompt;
    /** The request's priority. */
    final int priority;
    /** The index at which this run started. */
    final int startIndex;
    /** The index after the last token. */
    final int endIndex;
    /** Whether the answer ends because of the request's limit. */
    final boolean limited;
    /** Where the answer goes. */
    final HttpServerResponse response;
    /** The index of the next token. */
    int nextIndex;
    /** When the prompt is processed, in nanoseconds of the monotonic clock. */
    long prefilledAtNanos;
    /** Whether the caller cancelled it or closed the connection. */
    boolean cancelled;

    /**
     * Creates a run.
     *
     * @param json the body of {@code POST /v1/run}
     * @param resident the model version that runs it
     * @param outputTokens the length of an answer that no limit cuts short
     * @param response where the answer goes
     */
    Run(JsonObject json, Resident resident, int outputTokens, HttpServerResponse response) {
        this.resident = resident;
        this.response = response;
        requestIdentity = json.getString("request_id");
        prompt = json.getString("prompt");
        priority = json.getInteger("priority", 0);
        startIndex = json.getInteger("resume_from", 0);
        int maximum = json.getInteger("maximum_output_tokens", outputTokens);
        limited = maximum < outputTokens;
        endIndex = Math.min(maximum, outputTokens);
        nextIndex = startIndex;
    }

    /**
     * Tells whether all tokens were sent.
     *
     * @return {@code true} after the last token
     */
    boolean isComplete() {
        return nextIndex >= endIndex;
    }

    /**
     * Returns the line of the next token.
     *
     * @param identity the identity that the line carries
     * @return the line
     */
    String tokenLine(String identity) {
        return new JsonObject()
                        .put("request_id", identity)
                        .put("index", nextIndex)
                        .put("text", TokenText.at(prompt, nextIndex))
                        .encode()
                + "\n";
    }

    /**
     * Returns the last line.
     *
     * @param identity the identity that the line carries
     * @return the line
     */
    String lastLine(String identity) {
        return new JsonObject()
                        .put("request_id", identity)
                        .put("done", true)
                        .put("finish_reason", limited ? "length" : "stop")
                        .put("prompt_tokens", TokenText.count(prompt))
                        .put("output_tokens", endIndex)
                        .encode()
                + "\n";
    }
}
