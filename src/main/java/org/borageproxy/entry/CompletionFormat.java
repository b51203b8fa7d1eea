package org.borageproxy.entry;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** The response formats of completions, compatible with the OpenAI API. Immutable and thread safe. */
enum CompletionFormat {
    /** Chat completions. */
    CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk"),
    /** Text completions. */
    TEXT("cmpl-", "text_completion", "text_completion");

    private final String identityPrefix;
    private final String responseType;
    private final String chunkType;

    CompletionFormat(String identityPrefix, String responseType, String chunkType) {
        this.identityPrefix = identityPrefix;
        this.responseType = responseType;
        this.chunkType = chunkType;
    }

    /**
     * The fields that all chunks of a response share.
     *
     * @param identity the request ID
     * @param model the name of the model as stated by the caller
     * @param createdSeconds when the response was created, in seconds since 1970
     */
    record Metadata(String identity, String model, long createdSeconds) {}

    /**
     * The token counts of a response.
     *
     * @param prompt the number of prompt tokens
     * @param output the number of output tokens
     */
    record Usage(long prompt, long output) {

        JsonObject toJson() {
            return new JsonObject()
                    .put("prompt_tokens", prompt)
                    .put("completion_tokens", output)
                    .put("total_tokens", prompt + output);
        }
    }

    JsonObject encodeResponse(Metadata metadata, String text, String finishReason, Usage usage) {
        JsonObject choice = new JsonObject().put("index", 0);
        if (this == CHAT) {
            choice.put("message", new JsonObject().put("role", "assistant").put("content", text));
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        return encodeMetadata(metadata, responseType)
                .put("choices", new JsonArray().add(choice))
                .put("usage", usage.toJson());
    }

    /**
     * Encodes one token of a stream.
     *
     * @param metadata the shared fields
     * @param text the text of the token
     * @param first whether it is the first token, which carries the role
     * @return the encoded chunk
     */
    JsonObject encodeChunk(Metadata metadata, String text, boolean first) {
        JsonObject choice = new JsonObject().put("index", 0);
        if (this == CHAT) {
            JsonObject delta = first ? new JsonObject().put("role", "assistant") : new JsonObject();
            choice.put("delta", delta.put("content", text));
        } else {
            choice.put("text", text);
        }
        choice.putNull("finish_reason");
        return encodeMetadata(metadata, chunkType).put("choices", new JsonArray().add(choice));
    }

    JsonObject encodeLastChunk(Metadata metadata, String finishReason) {
        JsonObject choice = new JsonObject().put("index", 0);
        if (this == CHAT) {
            choice.put("delta", new JsonObject());
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason);
        return encodeMetadata(metadata, chunkType).put("choices", new JsonArray().add(choice));
    }

    /**
     * Encodes the token counts, which follow the last chunk if the caller requested them.
     *
     * @param metadata the shared fields
     * @param usage the token counts
     * @return the encoded chunk
     */
    JsonObject encodeUsageChunk(Metadata metadata, Usage usage) {
        return encodeMetadata(metadata, chunkType)
                .put("choices", new JsonArray())
                .put("usage", usage.toJson());
    }

    private JsonObject encodeMetadata(Metadata metadata, String type) {
        return new JsonObject()
                .put("id", identityPrefix + metadata.identity())
                .put("object", type)
                .put("created", metadata.createdSeconds())
                .put("model", metadata.model());
    }
}
