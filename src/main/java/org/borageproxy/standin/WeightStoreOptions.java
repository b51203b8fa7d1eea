package org.borageproxy.standin;

/**
 * How a stand-in weight store is set up. Immutable and thread safe.
 *
 * @param host the IP address to listen on
 * @param port the TCP port to listen on, zero for any free port
 * @param loadsPerSecond models served each second
 * @param fullSpeedModels models served at once at full speed
 * @param fullSpeedAdapters adapters served at once at full speed
 * @param modelMillis the time that a model takes at full speed, in milliseconds
 * @param adapterMillis the time that an adapter takes at full speed, in milliseconds
 */
public record WeightStoreOptions(
        String host,
        int port,
        double loadsPerSecond,
        int fullSpeedModels,
        int fullSpeedAdapters,
        long modelMillis,
        long adapterMillis) {

    /** A store on a free local port with 2 loads each second, 16 at once, and 128 adapters at once. */
    public static final WeightStoreOptions LOCAL = new WeightStoreOptions("127.0.0.1", 0, 2.0, 16, 128, 200, 10);
}
