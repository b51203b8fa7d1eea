package org.borageproxy.membership;

/**
 * The load that a backend server reported last, which lags behind its true load. Immutable and thread safe.
 *
 * @param running requests in the running batch
 * @param waiting requests that wait for a place in the batch
 * @param batchLimit the largest number of requests in a batch
 * @param tokensPerSecond tokens generated each second by one request of a full batch
 * @param prefillTokensPerSecond prompt tokens processed each second
 */
public record LoadReport(
        int running, int waiting, int batchLimit, double tokensPerSecond, double prefillTokensPerSecond) {

    /** The report of a backend server that has said nothing of its load. */
    public static final LoadReport UNKNOWN = new LoadReport(0, 0, 1, 1.0, 1.0);
}
