package org.borageproxy.standin;

/**
 * The settings of a simulated weight store. Immutable and thread safe.
 *
 * @param host the IP address to listen on
 * @param port the TCP port to listen on, zero for any free port
 * @param loadsPerSecond the maximum rate at which model transfers start
 * @param fullSpeedModels the number of parallel model transfers without slowdown
 * @param fullSpeedAdapters the number of parallel adapter transfers without slowdown
 * @param modelMillis the transfer time of a model without slowdown, in milliseconds
 * @param adapterMillis the transfer time of an adapter without slowdown, in milliseconds
 */
public record WeightStoreOptions(
        String host,
        int port,
        double loadsPerSecond,
        int fullSpeedModels,
        int fullSpeedAdapters,
        long modelMillis,
        long adapterMillis) {

    /**
     * A store on a free local port that starts 2 model transfers per second and slows down beyond 16 parallel models or
     * 128 parallel adapters.
     */
    public static final WeightStoreOptions LOCAL = new WeightStoreOptions("127.0.0.1", 0, 2.0, 16, 128, 200, 10);
}
