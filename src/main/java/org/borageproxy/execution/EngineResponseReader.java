package org.borageproxy.execution;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Checks the lines of one answer of a model engine: each must carry the request's identity and the next index, and the
 * last line must count the tokens that came. Not thread safe.
 */
final class EngineResponseReader {

    /** The identity that every line must carry. */
    private final String identity;
    /** The index at which the run started. */
    private final int startIndex;
    /** The index of the next token. */
    private int nextIndex;

    /**
     * Creates a reader.
     *
     * @param identity the identity that every line must carry
     * @param startIndex the index of the first token
     */
    EngineResponseReader(String identity, int startIndex) {
        this.identity = identity;
        this.startIndex = startIndex;
        this.nextIndex = startIndex;
    }

    /**
     * Reads a line.
     *
     * @param buffer the line without its end
     * @return what the line says
     */
    Line read(Buffer buffer) {
        try {
            return read(new JsonObject(buffer));
        } catch (DecodeException | ClassCastException exception) {
            return Line.Invalid.INSTANCE;
        }
    }

    /**
     * Reads a line.
     *
     * @param json the parsed line
     * @return what the line says
     */
    private Line read(JsonObject json) {
        if (!identity.equals(json.getString("request_id"))) {
            return Line.Invalid.INSTANCE;
        }
        if (Boolean.TRUE.equals(json.getBoolean("done"))) {
            return last(json);
        }
        String text = json.getString("text");
        if (text == null || json.getInteger("index", -1) != nextIndex) {
            return Line.Invalid.INSTANCE;
        }
        nextIndex++;
        return new Line.Token(text);
    }

    /**
     * Reads the last line.
     *
     * @param json the parsed line
     * @return what the line says
     */
    private Line last(JsonObject json) {
        int output = json.getInteger("output_tokens", -1);
        if (output != nextIndex && output != nextIndex - startIndex) {
            return Line.Invalid.INSTANCE;
        }
        String reason = json.getString("finish_reason", "stop");
        return new Line.Done(reason, Optional.ofNullable(json.getInteger("prompt_tokens")), nextIndex);
    }

    /** What a line says. Implementations are immutable. */
    sealed interface Line {

        /**
         * The next token.
         *
         * @param text the token's text
         */
        record Token(String text) implements Line {}

        /**
         * The answer is whole.
         *
         * @param finishReason why it ended
         * @param promptTokens the tokens of the prompt, if stated
         * @param outputTokens the tokens of the whole answer
         */
        record Done(String finishReason, Optional<Integer> promptTokens, int outputTokens) implements Line {}

        /** The line is malformed, out of order or belongs to another request. */
        enum Invalid implements Line {
            /** The only value. */
            INSTANCE
        }
    }
}
