package org.borageproxy.entry;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.borageproxy.execution.TokenSink;
import org.borageproxy.result.Execution;
import org.borageproxy.result.ResultCode;

/**
 * Streams a completion as server-sent events. The head is written with the first token, so that a failure before it has
 * its own status. A stream that is not whole never ends with the end mark: it ends with an error event and a closed
 * connection. Confined to the request's event loop.
 */
final class EventStream implements TokenSink {

    /** The response. */
    private final CallerResponse caller;
    /** The shape of the parts. */
    private final CompletionFormat format;
    /** What all parts share. */
    private final CompletionFormat.Metadata head;
    /** The response once it was begun, or {@code null}. */
    private HttpServerResponse response;

    /**
     * Creates a stream.
     *
     * @param caller the response
     * @param format the shape of the parts
     * @param head what all parts share
     */
    EventStream(CallerResponse caller, CompletionFormat format, CompletionFormat.Metadata head) {
        this.caller = caller;
        this.format = format;
        this.head = head;
    }

    @Override
    public void write(String text) {
        boolean first = response == null;
        if (!caller.isOpen()) {
            return;
        }
        begin();
        event(format.encodeChunk(head, text, first));
    }

    @Override
    public boolean isStreaming() {
        return true;
    }

    @Override
    public boolean isFull() {
        return response != null && caller.isOpen() && response.writeQueueFull();
    }

    @Override
    public void onDrain(Runnable action) {
        response.drainHandler(nothing -> action.run());
    }

    /**
     * Ends a whole stream.
     *
     * @param finishReason why the answer ended
     * @param usage the tokens
     * @param includeUsage whether the stream ends with the usage
     */
    void finish(String finishReason, CompletionFormat.Usage usage, boolean includeUsage) {
        if (caller.isOpen()) {
            begin();
            event(format.encodeLastChunk(head, finishReason));
            if (includeUsage) {
                event(format.encodeUsageChunk(head, usage));
            }
            caller.end(response, Buffer.buffer("data: [DONE]\n\n"), ResultCode.OK, Execution.ANSWERED);
        } else {
            caller.recordResult(ResultCode.OK, Execution.ANSWERED);
        }
    }

    /**
     * Ends a stream that is not whole.
     *
     * @param code why
     */
    void abort(ResultCode code) {
        if (!caller.isOpen()) {
            caller.recordResult(code, Execution.MAY_HAVE_RUN);
            return;
        }
        JsonObject error =
                CallerResponse.error(code, code.sentence()).put("outcome", Execution.MAY_HAVE_RUN.headerValue());
        String text = new JsonObject().put("error", error).encode();
        response.write("event: error\ndata: " + text + "\n\n").onComplete(written -> caller.abort(code));
    }

    /** Begins the response if that has not happened. */
    private void begin() {
        if (response == null) {
            response = caller.begin(ResultCode.OK.httpStatus(), Execution.ANSWERED);
            response.setChunked(true);
            response.putHeader("content-type", "text/event-stream");
            response.putHeader("cache-control", "no-cache");
        }
    }

    /**
     * Writes an event.
     *
     * @param data the event's data
     */
    private void event(JsonObject data) {
        response.write("data: " + data.encode() + "\n\n");
    }
}
