package org.borageproxy.standin;

/**
 * How a stand-in engine is set up. Immutable and thread safe.
 *
 * @param name the engine's name
 * @param zone the engine's availability zone
 * @param host the IP address to listen on
 * @param port the TCP port to listen on, zero for any free port
 * @param incarnation the incarnation of the first start
 * @param checksFencing whether orders with an old fencing number are refused
 * @param announcing where the engine announces itself
 * @param timing how fast it works
 * @param memory its memory
 * @param weightStore the weight store as {@code host:port}, empty to load without one
 */
public record EngineOptions(
        String name,
        String zone,
        String host,
        int port,
        long incarnation,
        boolean checksFencing,
        Announcing announcing,
        EngineTiming timing,
        EngineMemory memory,
        String weightStore) {

    /**
     * Returns the options of a fast engine on a free local port, which checks fencing numbers.
     *
     * @param name the engine's name
     * @param zone the engine's availability zone
     * @return the options
     */
    public static EngineOptions named(String name, String zone) {
        return new EngineOptions(
                name,
                zone,
                "127.0.0.1",
                0,
                System.currentTimeMillis(),
                true,
                Announcing.NOWHERE,
                EngineTiming.FAST,
                EngineMemory.ofOneAccelerator(),
                "");
    }

    /**
     * Returns these options with another address.
     *
     * @param newHost the IP address to listen on
     * @param newPort the TCP port to listen on, zero for any free port
     * @return a copy with the address
     */
    public EngineOptions withAddress(String newHost, int newPort) {
        return new EngineOptions(
                name, zone, newHost, newPort, incarnation, checksFencing, announcing, timing, memory, weightStore);
    }

    /**
     * Returns these options with other announcements.
     *
     * @param changed where the engine announces itself
     * @return a copy with the announcements
     */
    public EngineOptions withAnnouncing(Announcing changed) {
        return new EngineOptions(
                name, zone, host, port, incarnation, checksFencing, changed, timing, memory, weightStore);
    }

    /**
     * Returns these options with another timing.
     *
     * @param changed the timing
     * @return a copy with the timing
     */
    public EngineOptions withTiming(EngineTiming changed) {
        return new EngineOptions(
                name, zone, host, port, incarnation, checksFencing, announcing, changed, memory, weightStore);
    }

    /**
     * Returns these options with another memory.
     *
     * @param changed the memory
     * @return a copy with the memory
     */
    public EngineOptions withMemory(EngineMemory changed) {
        return new EngineOptions(
                name, zone, host, port, incarnation, checksFencing, announcing, timing, changed, weightStore);
    }

    /**
     * Returns these options with or without the check of fencing numbers.
     *
     * @param checks whether orders with an old fencing number are refused
     * @return a copy with the choice
     */
    public EngineOptions withChecksFencing(boolean checks) {
        return new EngineOptions(name, zone, host, port, incarnation, checks, announcing, timing, memory, weightStore);
    }

    /**
     * Returns these options with a weight store.
     *
     * @param address the weight store as {@code host:port}
     * @return a copy with the weight store
     */
    public EngineOptions withWeightStore(String address) {
        return new EngineOptions(
                name, zone, host, port, incarnation, checksFencing, announcing, timing, memory, address);
    }
}
