package org.borageproxy.entry;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.borageproxy.execution.TokenSink;
import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;

/**
 * Streams a completion as server-sent events. The response head is sent with the first token, so that an earlier
 * failure has its own status. An incomplete stream ends with an error event and a closed connection, never with the end
 * marker. Confined to the request's event loop.
 */
final class EventStream implements TokenSink {

    private final CallerResponse callerResponse;
    private final CompletionFormat format;
    private final CompletionFormat.Metadata metadata;
    /** {@code null} until the response starts. */
    private HttpServerResponse response;

    EventStream(CallerResponse callerResponse, CompletionFormat format, CompletionFormat.Metadata metadata) {
        this.callerResponse = callerResponse;
        this.format = format;
        this.metadata = metadata;
    }

    @Override
    public void write(String text) {
        boolean first = response == null;
        if (!callerResponse.isOpen()) {
            return;
        }
        startResponse();
        writeEvent(format.encodeChunk(metadata, text, first));
    }

    @Override
    public boolean isStreaming() {
        return true;
    }

    @Override
    public boolean isFull() {
        return response != null && callerResponse.isOpen() && response.writeQueueFull();
    }

    @Override
    public void onDrain(Runnable action) {
        response.drainHandler(nothing -> action.run());
    }

    /**
     * Completes the stream.
     *
     * @param finishReason why the generation ended
     * @param usage the token counts
     * @param includeUsage whether the stream ends with the token counts
     */
    void finish(String finishReason, CompletionFormat.Usage usage, boolean includeUsage) {
        if (callerResponse.isOpen()) {
            startResponse();
            writeEvent(format.encodeLastChunk(metadata, finishReason));
            if (includeUsage) {
                writeEvent(format.encodeUsageChunk(metadata, usage));
            }
            callerResponse.end(response, Buffer.buffer("data: [DONE]\n\n"), ResultCode.OK, Execution.ANSWERED);
        } else {
            callerResponse.recordResult(ResultCode.OK, Execution.ANSWERED);
        }
    }

    /**
     * Ends an incomplete stream with an error event and closes the connection.
     *
     * @param code the reason
     */
    void abort(ResultCode code) {
        if (!callerResponse.isOpen()) {
            callerResponse.recordResult(code, Execution.MAY_HAVE_RUN);
            return;
        }
        JsonObject error =
                CallerResponse.error(code, code.sentence()).put("outcome", Execution.MAY_HAVE_RUN.headerValue());
        String text = new JsonObject().put("error", error).encode();
        response.write("event: error\ndata: " + text + "\n\n").onComplete(written -> callerResponse.abort(code));
    }

    private void startResponse() {
        if (response == null) {
            response = callerResponse.begin(ResultCode.OK.httpStatus(), Execution.ANSWERED);
            response.setChunked(true);
            response.putHeader("content-type", "text/event-stream");
            response.putHeader("cache-control", "no-cache");
        }
    }

    private void writeEvent(JsonObject data) {
        response.write("data: " + data.encode() + "\n\n");
    }
}
