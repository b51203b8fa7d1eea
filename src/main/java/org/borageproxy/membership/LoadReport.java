package org.borageproxy.membership;

import java.util.OptionalLong;

/**
 * Load reported by a backend server, which lags behind its actual load. Immutable and thread safe.
 *
 * @param running the number of requests in the running batch
 * @param waiting the number of requests queued for the batch
 * @param batchLimit the maximum number of requests in a batch
 * @param tokensPerSecond the tokens generated per second by one request of a full batch
 * @param prefillTokensPerSecond the prompt tokens processed per second
 * @param coldMillis the time from the report until the server is warm, in milliseconds; empty if it states none
 */
public record LoadReport(
        int running,
        int waiting,
        int batchLimit,
        double tokensPerSecond,
        double prefillTokensPerSecond,
        OptionalLong coldMillis) {

    /** Load of a backend server that has not reported any. */
    public static final LoadReport UNKNOWN = new LoadReport(0, 0, 1, 1.0, 1.0);

    /**
     * Creates the load of a server that does not state whether it is cold.
     *
     * @param running the number of requests in the running batch
     * @param waiting the number of requests queued for the batch
     * @param batchLimit the maximum number of requests in a batch
     * @param tokensPerSecond the tokens generated per second by one request of a full batch
     * @param prefillTokensPerSecond the prompt tokens processed per second
     */
    public LoadReport(int running, int waiting, int batchLimit, double tokensPerSecond, double prefillTokensPerSecond) {
        this(running, waiting, batchLimit, tokensPerSecond, prefillTokensPerSecond, OptionalLong.empty());
    }
}
