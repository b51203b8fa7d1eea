package org.borageproxy.routing;

import java.util.List;

/**
 * Inference work that a request asks of a model engine. Immutable and thread safe.
 *
 * @param model the model
 * @param adapter the adapter of the model; empty for none
 * @param promptTokens the number of prompt tokens
 * @param outputTokens the maximum number of output tokens
 * @param promptParts the cacheable parts of the prompt, in order
 */
public record EngineWork(
        String model, String adapter, int promptTokens, int outputTokens, List<PromptPart> promptParts) {

    /** Copies the list. */
    public EngineWork {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Returns the tokens that the request costs under a token rate and may occupy in the KV cache.
     *
     * @return the sum of prompt tokens and maximum output tokens
     */
    public int totalTokens() {
        return promptTokens + outputTokens;
    }

    /**
     * A part of a prompt that engines may keep in their prefix cache. Immutable and thread safe.
     *
     * @param identity identifies the content of the part
     * @param tokens the number of tokens of the part
     */
    public record PromptPart(String identity, int tokens) {}
}
