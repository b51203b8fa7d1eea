package org.borageproxy.experiment;

/**
 * A request of a trace. Immutable and thread safe.
 *
 * @param atNanos when it comes
 * @param entry the entry VM that it comes to
 * @param workspace its workspace
 * @param model the model
 * @param adapter the adapter, empty for none
 * @param promptTokens the tokens of its prompt
 * @param maximumOutputTokens the largest number of tokens it may generate
 * @param outputTokens the tokens it generates
 * @param deadlineNanos when its answer must be complete
 * @param entitled whether one bucket for the whole fleet would admit it
 * @param withinRate whether that bucket admitted all that its workspace sent lately
 */
record Arrival(
        long atNanos,
        int entry,
        String workspace,
        String model,
        String adapter,
        int promptTokens,
        int maximumOutputTokens,
        int outputTokens,
        long deadlineNanos,
        boolean entitled,
        boolean withinRate) {

    /**
     * Returns the tokens that are reserved for the request.
     *
     * @return tokens
     */
    long reservedTokens() {
        return promptTokens + maximumOutputTokens;
    }

    /**
     * Returns the tokens that the request uses.
     *
     * @return tokens
     */
    long usedTokens() {
        return promptTokens + outputTokens;
    }

    /**
     * Returns the pool that the request waits for.
     *
     * @return the model's name, with the adapter's if there is one
     */
    String pool() {
        return adapter.isEmpty() ? model : model + "/" + adapter;
    }
}
