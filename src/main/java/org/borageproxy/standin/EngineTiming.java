package org.borageproxy.standin;

/**
 * How fast a stand-in engine works. Immutable and thread safe.
 *
 * @param batchLimit the largest number of requests in the running batch
 * @param queueLimit the largest number of requests that wait for a place in the batch
 * @param tokenMillis the time between two tokens of each running request, in milliseconds
 * @param prefillTokensPerSecond prompt tokens processed each second
 * @param outputTokens the length of an answer that no limit cuts short, in tokens
 * @param loadMillis the time that a model takes to load, without the time at the weight store, in milliseconds
 * @param adapterLoadMillis the time that an adapter takes to load, in milliseconds
 * @param unloadMillis the time that an unload takes, in milliseconds
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
     * Returns this timing with another length of answers.
     *
     * @param tokens the length in tokens
     * @return a copy with the length
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
     * Returns this timing with another time between tokens.
     *
     * @param millis the time in milliseconds
     * @return a copy with the time
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
     * Returns this timing with other limits of the batch.
     *
     * @param batch the largest number of requests in the running batch
     * @param queue the largest number of requests that wait
     * @return a copy with the limits
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
