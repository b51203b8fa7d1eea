package org.borageproxy.entry;

import io.vertx.core.json.JsonObject;
import org.borageproxy.execution.RequestOutcome;
import org.borageproxy.execution.TokenSink;

/** Writes the response to a completion request, streamed or whole. Confined to the request's event loop. */
final class CompletionResponse {

    private final CallerResponse response;
    private final CompletionRequest request;
    private final CompletionFormat.Metadata metadata;
    /** Unused unless the caller requested a stream. */
    private final EventStream stream;

    CompletionResponse(CallerResponse response, CompletionRequest request, CompletionFormat.Metadata metadata) {
        this.response = response;
        this.request = request;
        this.metadata = metadata;
        this.stream = new EventStream(response, request.format(), metadata);
    }

    TokenSink sink() {
        return request.stream() ? stream : NonStreamingSink.INSTANCE;
    }

    /**
     * Completes the response. For a stream, the text has already been written.
     *
     * @param text the whole text
     * @param finishReason why the generation ended
     * @param usage the token counts
     */
    void finish(String text, String finishReason, CompletionFormat.Usage usage) {
        if (request.stream()) {
            stream.finish(finishReason, usage, request.includeUsage());
        } else {
            response.json(request.format().encodeResponse(metadata, text, finishReason, usage));
        }
    }

    void replay(JsonObject stored) {
        if (request.stream()) {
            stream.write(stored.getString("text"));
        }
        CompletionFormat.Usage usage =
                new CompletionFormat.Usage(stored.getLong("prompt_tokens"), stored.getLong("output_tokens"));
        finish(stored.getString("text"), stored.getString("finish_reason"), usage);
    }

    void fail(RequestOutcome.Failure failure) {
        if (failure.truncated()) {
            stream.abort(failure.code());
        } else {
            response.fail(failure);
        }
    }
}
