package org.borageproxy.experiment;

/**
 * A request of a trace. Immutable and thread safe.
 *
 * @param atNanos the arrival time, in nanoseconds of virtual time
 * @param entryIndex the index of the entry VM that receives it
 * @param workspace the name of its workspace
 * @param model the model's name
 * @param adapter the adapter's name, empty for none
 * @param promptTokens the number of tokens in the prompt
 * @param maximumOutputTokens the limit of output tokens
 * @param outputTokens the number of output tokens generated
 * @param deadlineNanos the time by which the answer has to be complete, in nanoseconds of virtual time
 * @param isEntitled whether a single token bucket of its workspace for the whole fleet would admit it
 * @param isWithinRate whether that bucket admitted all requests of the workspace during the time in which an empty
 *     bucket fills up
 */
record Arrival(
        long atNanos,
        int entryIndex,
        String workspace,
        String model,
        String adapter,
        int promptTokens,
        int maximumOutputTokens,
        int outputTokens,
        long deadlineNanos,
        boolean isEntitled,
        boolean isWithinRate) {

    /** Returns the number of tokens reserved on admission, for the prompt and the longest possible answer. */
    long reservedTokens() {
        return promptTokens + maximumOutputTokens;
    }

    /** Returns the number of tokens of the prompt and the generated answer. */
    long usedTokens() {
        return promptTokens + outputTokens;
    }

    /** Returns the name of the dispatch pool: the model, or model and adapter separated by a slash. */
    String pool() {
        return adapter.isEmpty() ? model : model + "/" + adapter;
    }
}
