package org.borageproxy.standin;

/**
 * The simulated speed of an engine. Immutable and thread safe.
 *
 * @param batchLimit the maximum number of requests in the running batch
 * @param queueLimit the maximum number of requests that wait for a place in the batch
 * @param tokenMillis the time between two output tokens of each running request, in milliseconds
 * @param prefillTokensPerSecond the rate at which the prompt of one request is processed
 * @param outputTokens the length of an answer that the request does not limit, in tokens
 * @param loadMillis the time to load a model after its weights were fetched, in milliseconds
 * @param adapterLoadMillis the time to load an adapter after its weights were fetched, in milliseconds
 * @param unloadMillis the minimum time until an unload frees the memory, in milliseconds
 */
public record EngineTiming(
        int batchLimit,
        int queueLimit,
        long tokenMillis,
        double prefillTokensPerSecond,
        int outputTokens,
        long loadMillis,
        long adapterLoadMillis,
        long unloadMillis) {

    /** A fast engine for tests and the demonstration. */
    public static final EngineTiming FAST = new EngineTiming(16, 64, 5, 100_000.0, 16, 50, 10, 10);

    /**
     * Returns a copy with another answer length.
     *
     * @param tokens the length of an answer that the request does not limit
     * @return the copy
     */
    public EngineTiming withOutputTokens(int tokens) {
        return new EngineTiming(
                batchLimit,
                queueLimit,
                tokenMillis,
                prefillTokensPerSecond,
                tokens,
                loadMillis,
                adapterLoadMillis,
                unloadMillis);
    }

    /**
     * Returns a copy with another time between tokens.
     *
     * @param millis the time between two output tokens, in milliseconds
     * @return the copy
     */
    public EngineTiming withTokenMillis(long millis) {
        return new EngineTiming(
                batchLimit,
                queueLimit,
                millis,
                prefillTokensPerSecond,
                outputTokens,
                loadMillis,
                adapterLoadMillis,
                unloadMillis);
    }

    /**
     * Returns a copy with other limits of batch and queue.
     *
     * @param batch the maximum number of requests in the running batch
     * @param queue the maximum number of waiting requests
     * @return the copy
     */
    public EngineTiming withLimits(int batch, int queue) {
        return new EngineTiming(
                batch,
                queue,
                tokenMillis,
                prefillTokensPerSecond,
                outputTokens,
                loadMillis,
                adapterLoadMillis,
                unloadMillis);
    }
}
