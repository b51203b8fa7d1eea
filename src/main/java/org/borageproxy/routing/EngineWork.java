package org.borageproxy.routing;

import java.util.List;

/**
 * What a model engine is asked for. Immutable and thread safe.
 *
 * @param model the model
 * @param adapter the adapter of the model; empty for none
 * @param promptTokens the tokens of the prompt
 * @param outputTokens the most tokens of the output
 * @param promptParts the parts of the prompt in their order
 */
public record EngineWork(
        String model, String adapter, int promptTokens, int outputTokens, List<PromptPart> promptParts) {

    /** Copies the parts. */
    public EngineWork {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Returns the tokens by which rates count the request.
     *
     * @return tokens of prompt and output
     */
    public int totalTokens() {
        return promptTokens + outputTokens;
    }

    /**
     * A part of a prompt that engines may keep. Immutable and thread safe.
     *
     * @param identity identifies the part
     * @param tokens its tokens
     */
    public record PromptPart(String identity, int tokens) {}
}
