package org.borageproxy.entry;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** The shapes of completions, compatible with the OpenAI interface. Immutable and thread safe. */
enum CompletionFormat {
    /** Chat completions. */
    CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk"),
    /** Text completions. */
    TEXT("cmpl-", "text_completion", "text_completion");

    /** The prefix of the identity of an answer. */
    private final String identityPrefix;
    /** The type of a whole answer. */
    private final String wholeType;
    /** The type of a part of a stream. */
    private final String partType;

    /**
     * Creates a shape.
     *
     * @param identityPrefix the prefix of the identity of an answer
     * @param wholeType the type of a whole answer
     * @param partType the type of a part of a stream
     */
    CompletionFormat(String identityPrefix, String wholeType, String partType) {
        this.identityPrefix = identityPrefix;
        this.wholeType = wholeType;
        this.partType = partType;
    }

    /**
     * What all parts of an answer share.
     *
     * @param identity the request's identity
     * @param model the model as the caller named it
     * @param createdSeconds when the answer was begun, in seconds since 1970
     */
    record Metadata(String identity, String model, long createdSeconds) {}

    /**
     * The tokens of an answer.
     *
     * @param prompt the tokens of the prompt
     * @param output the tokens of the answer
     */
    record Usage(long prompt, long output) {

        /**
         * Encodes the usage.
         *
         * @return the encoded usage
         */
        JsonObject toJson() {
            return new JsonObject()
                    .put("prompt_tokens", prompt)
                    .put("completion_tokens", output)
                    .put("total_tokens", prompt + output);
        }
    }

    /**
     * Encodes a whole answer.
     *
     * @param head what all parts share
     * @param text the text
     * @param finishReason why the answer ended
     * @param usage the tokens
     * @return the encoded answer
     */
    JsonObject encodeResponse(Metadata head, String text, String finishReason, Usage usage) {
        JsonObject choice = new JsonObject().put("index", 0);
        if (this == CHAT) {
            choice.put("message", new JsonObject().put("role", "assistant").put("content", text));
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        return head(head, wholeType).put("choices", new JsonArray().add(choice)).put("usage", usage.toJson());
    }

    /**
     * Encodes a token of a stream.
     *
     * @param head what all parts share
     * @param text the token's text
     * @param first whether it is the first token
     * @return the encoded part
     */
    JsonObject encodeChunk(Metadata head, String text, boolean first) {
        JsonObject choice = new JsonObject().put("index", 0);
        if (this == CHAT) {
            JsonObject delta = first ? new JsonObject().put("role", "assistant") : new JsonObject();
            choice.put("delta", delta.put("content", text));
        } else {
            choice.put("text", text);
        }
        choice.putNull("finish_reason");
        return head(head, partType).put("choices", new JsonArray().add(choice));
    }

    /**
     * Encodes the end of a stream.
     *
     * @param head what all parts share
     * @param finishReason why the answer ended
     * @return the encoded part
     */
    JsonObject encodeLastChunk(Metadata head, String finishReason) {
        JsonObject choice = new JsonObject().put("index", 0);
        if (this == CHAT) {
            choice.put("delta", new JsonObject());
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason);
        return head(head, partType).put("choices", new JsonArray().add(choice));
    }

    /**
     * Encodes the usage at the end of a stream.
     *
     * @param head what all parts share
     * @param usage the tokens
     * @return the encoded part
     */
    JsonObject encodeUsageChunk(Metadata head, Usage usage) {
        return head(head, partType).put("choices", new JsonArray()).put("usage", usage.toJson());
    }

    /**
     * Encodes what all parts share.
     *
     * @param head what all parts share
     * @param type the type of the part
     * @return the encoded head
     */
    private JsonObject head(Metadata head, String type) {
        return new JsonObject()
                .put("id", identityPrefix + head.identity())
                .put("object", type)
                .put("created", head.createdSeconds())
                .put("model", head.model());
    }
}
