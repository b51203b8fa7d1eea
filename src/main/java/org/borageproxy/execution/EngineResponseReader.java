package org.borageproxy.execution;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Validates the lines of one response of a model engine: every line must carry the request ID, token indexes must be
 * consecutive, and the last line must state the number of tokens received. Not thread safe.
 */
final class EngineResponseReader {

    private final String identity;
    private final int startIndex;
    private int nextIndex;

    EngineResponseReader(String identity, int startIndex) {
        this.identity = identity;
        this.startIndex = startIndex;
        this.nextIndex = startIndex;
    }

    /**
     * Parses and validates a line.
     *
     * @param buffer the line without its terminator
     * @return the parsed line
     */
    Line read(Buffer buffer) {
        try {
            return read(new JsonObject(buffer));
        } catch (DecodeException | ClassCastException exception) {
            return Line.Invalid.INSTANCE;
        }
    }

    private Line read(JsonObject json) {
        if (!identity.equals(json.getString("request_id"))) {
            return Line.Invalid.INSTANCE;
        }
        if (Boolean.TRUE.equals(json.getBoolean("done"))) {
            return readLast(json);
        }
        String text = json.getString("text");
        if (text == null || json.getInteger("index", -1) != nextIndex) {
            return Line.Invalid.INSTANCE;
        }
        nextIndex++;
        return new Line.Token(text);
    }

    /**
     * Validates the last line. An engine may count the tokens of the whole response or only those since the start
     * index.
     *
     * @param json the parsed line
     * @return the parsed line
     */
    private Line readLast(JsonObject json) {
        int outputTokens = json.getInteger("output_tokens", -1);
        if (outputTokens != nextIndex && outputTokens != nextIndex - startIndex) {
            return Line.Invalid.INSTANCE;
        }
        String reason = json.getString("finish_reason", "stop");
        return new Line.Done(reason, Optional.ofNullable(json.getInteger("prompt_tokens")), nextIndex);
    }

    /** A parsed line. Implementations are immutable. */
    sealed interface Line {

        /**
         * The next token.
         *
         * @param text the text of the token
         */
        record Token(String text) implements Line {}

        /**
         * The end of a complete response.
         *
         * @param finishReason why the generation ended
         * @param promptTokens the number of prompt tokens, if stated
         * @param outputTokens the number of tokens of the whole response
         */
        record Done(String finishReason, Optional<Integer> promptTokens, int outputTokens) implements Line {}

        /** The line is malformed, out of order or belongs to another request. */
        enum Invalid implements Line {
            /** The singleton instance. */
            INSTANCE
        }
    }
}
