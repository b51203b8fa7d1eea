package org.borageproxy.entry;

import java.util.Optional;
import java.util.StringJoiner;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Parses completion requests. Pure and thread safe. */
enum CompletionParser {
    /** The singleton instance. */
    INSTANCE;

    /**
     * Parses a request.
     *
     * @param format the format of the request
     * @param body the body
     * @return the request, or a description of the error
     */
    ParseResult parse(CompletionFormat format, Buffer body) {
        try {
            return parse(format, new JsonObject(body));
        } catch (DecodeException | ClassCastException | NullPointerException exception) {
            return new ParseResult.Invalid("The body is not a JSON object of the expected shape.");
        }
    }

    private static ParseResult parse(CompletionFormat format, JsonObject json) {
        String model = json.getString("model");
        if (model == null || model.isEmpty()) {
            return new ParseResult.Invalid("The field \"model\" is missing.");
        }
        Optional<String> prompt =
                format == CompletionFormat.CHAT ? joinMessages(json) : readPrompt(json.getValue("prompt"));
        if (prompt.isEmpty()) {
            String field = format == CompletionFormat.CHAT ? "messages" : "prompt";
            return new ParseResult.Invalid("The field \"" + field + "\" is missing or malformed.");
        }
        if (json.getInteger("n", 1) != 1) {
            return new ParseResult.Invalid("The field \"n\" must be 1.");
        }
        Integer maximum = json.getInteger("max_completion_tokens", json.getInteger("max_tokens"));
        if (maximum != null && maximum < 1) {
            return new ParseResult.Invalid("The largest number of tokens must be positive.");
        }
        JsonObject options = json.getJsonObject("stream_options", new JsonObject());
        return new ParseResult.Valid(new CompletionRequest(
                format,
                model,
                prompt.get(),
                Optional.ofNullable(maximum),
                json.getBoolean("stream", false),
                options.getBoolean("include_usage", false)));
    }

    /**
     * Joins chat messages into a prompt, one "role: content" per line.
     *
     * @param json the body
     * @return the prompt, empty if the messages are malformed
     */
    private static Optional<String> joinMessages(JsonObject json) {
        JsonArray messages = json.getJsonArray("messages");
        if (messages == null || messages.isEmpty()) {
            return Optional.empty();
        }
        StringJoiner prompt = new StringJoiner("\n");
        for (int index = 0; index < messages.size(); index++) {
            JsonObject message = messages.getJsonObject(index);
            Optional<String> content = readContent(message.getValue("content"));
            if (message.getString("role") == null || content.isEmpty()) {
                return Optional.empty();
            }
            prompt.add(message.getString("role") + ": " + content.get());
        }
        return Optional.of(prompt.toString());
    }

    /**
     * Reads the content of a message: a string, or an array of text parts.
     *
     * @param content the content
     * @return the text, empty if the content is malformed
     */
    private static Optional<String> readContent(Object content) {
        if (content instanceof String text) {
            return Optional.of(text);
        }
        if (!(content instanceof JsonArray parts) || parts.isEmpty()) {
            return Optional.empty();
        }
        StringBuilder joined = new StringBuilder();
        for (int index = 0; index < parts.size(); index++) {
            JsonObject part = parts.getJsonObject(index);
            if (!"text".equals(part.getString("type")) || part.getString("text") == null) {
                return Optional.empty();
            }
            joined.append(part.getString("text"));
        }
        return Optional.of(joined.toString());
    }

    /**
     * Reads the prompt of a text completion: a string, or an array with one string.
     *
     * @param prompt the prompt
     * @return the text, empty if the prompt is malformed
     */
    private static Optional<String> readPrompt(Object prompt) {
        if (prompt instanceof JsonArray list && list.size() == 1) {
            return Optional.ofNullable(list.getString(0));
        }
        return prompt instanceof String text ? Optional.of(text) : Optional.empty();
    }

    /** The result of parsing. Implementations are immutable. */
    sealed interface ParseResult {

        /**
         * The request is well formed.
         *
         * @param request the request
         */
        record Valid(CompletionRequest request) implements ParseResult {}

        /**
         * The request is malformed.
         *
         * @param explanation a sentence for the caller
         */
        record Invalid(String explanation) implements ParseResult {}
    }
}
