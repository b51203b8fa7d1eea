package org.borageproxy.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the head of a caller's request says, apart from method and address. Immutable and thread safe.
 *
 * @param identity the identity of the request; empty if it states none
 * @param key the caller's key
 * @param waitMillis how long the caller waits, in milliseconds
 * @param work what a model engine is asked for; empty for requests to plain services
 * @param lastEvent the last event of the stream that the caller holds
 */
public record CallerFields(
        String identity,
        Optional<String> key,
        OptionalLong waitMillis,
        Optional<EngineWork> work,
        Optional<String> lastEvent) {

    /**
     * What a model engine is asked for. Immutable and thread safe.
     *
     * @param model the model
     * @param adapter the adapter of the model; empty for none
     * @param promptTokens the tokens of the prompt
     * @param outputTokens the most tokens of the output
     * @param parts the parts of the prompt in their order
     */
    public record EngineWork(String model, String adapter, int promptTokens, int outputTokens, List<PromptPart> parts) {

        /** Copies the parts. */
        public EngineWork {
            parts = List.copyOf(parts);
        }

        /**
         * Returns the tokens by which rates count the request.
         *
         * @return tokens of prompt and output
         */
        public int tokens() {
            return promptTokens + outputTokens;
        }
    }

    /**
     * A part of a prompt that engines may keep. Immutable and thread safe.
     *
     * @param identity identifies the part
     * @param tokens its tokens
     */
    public record PromptPart(String identity, int tokens) {}
}
