package org.borageproxy.entry;

import io.vertx.core.json.JsonObject;
import org.borageproxy.execution.RequestOutcome;
import org.borageproxy.execution.TokenSink;

/** Writes the answer to a completion, as a stream or as a whole. Confined to the request's event loop. */
final class CompletionResponse {

    /** The response. */
    private final CallerResponse response;
    /** The request. */
    private final CompletionRequest completion;
    /** What all parts share. */
    private final CompletionFormat.Metadata head;
    /** The stream; unused if the caller wants the answer as a whole. */
    private final EventStream stream;

    /**
     * Creates an answer.
     *
     * @param response the response
     * @param completion the request
     * @param head what all parts share
     */
    CompletionResponse(CallerResponse response, CompletionRequest completion, CompletionFormat.Metadata head) {
        this.response = response;
        this.completion = completion;
        this.head = head;
        this.stream = new EventStream(response, completion.format(), head);
    }

    /**
     * Returns where tokens go as they arrive.
     *
     * @return the sink
     */
    TokenSink sink() {
        return completion.stream() ? stream : NonStreamingSink.INSTANCE;
    }

    /**
     * Ends a whole answer, whose tokens a stream has already written.
     *
     * @param text the whole text
     * @param finishReason why the answer ended
     * @param usage the tokens
     */
    void finish(String text, String finishReason, CompletionFormat.Usage usage) {
        if (completion.stream()) {
            stream.finish(finishReason, usage, completion.includeUsage());
        } else {
            response.json(completion.format().encodeResponse(head, text, finishReason, usage));
        }
    }

    /**
     * Writes a stored answer.
     *
     * @param stored the stored answer
     */
    void replay(JsonObject stored) {
        if (completion.stream()) {
            stream.write(stored.getString("text"));
        }
        CompletionFormat.Usage usage =
                new CompletionFormat.Usage(stored.getLong("prompt_tokens"), stored.getLong("output_tokens"));
        finish(stored.getString("text"), stored.getString("finish_reason"), usage);
    }

    /**
     * Answers with a failure.
     *
     * @param failure the failure
     */
    void fail(RequestOutcome.Failure failure) {
        if (failure.truncated()) {
            stream.abort(failure.code());
        } else {
            response.fail(failure);
        }
    }
}
