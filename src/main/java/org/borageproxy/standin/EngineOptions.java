package org.borageproxy.standin;

/**
 * The settings of a simulated engine. Immutable and thread safe.
 *
 * @param name the engine's name
 * @param zone the engine's availability zone
 * @param host the IP address to listen on
 * @param port the TCP port to listen on, zero for any free port
 * @param incarnation the incarnation of the first start; each restart increments it
 * @param checksFencing whether orders with an outdated fencing number are rejected
 * @param announcements the VMs that the engine announces itself to, and the announcement interval
 * @param timing the simulated speed
 * @param memory the accelerators and model sizes
 * @param weightStore the weight store as {@code host:port}; empty skips the transfer of weights
 */
public record EngineOptions(
        String name,
        String zone,
        String host,
        int port,
        long incarnation,
        boolean checksFencing,
        AnnouncementSettings announcements,
        EngineTiming timing,
        EngineMemory memory,
        String weightStore) {

    /**
     * Returns the options of a fast engine that listens on a free local port, checks fencing numbers and does not
     * announce itself.
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
                AnnouncementSettings.DISABLED,
                EngineTiming.FAST,
                EngineMemory.ofOneAccelerator(),
                "");
    }

    /**
     * Returns a copy with another address.
     *
     * @param newHost the IP address to listen on
     * @param newPort the TCP port to listen on, zero for any free port
     * @return the copy
     */
    public EngineOptions withAddress(String newHost, int newPort) {
        return new EngineOptions(
                name, zone, newHost, newPort, incarnation, checksFencing, announcements, timing, memory, weightStore);
    }

    /**
     * Returns a copy with other announcement settings.
     *
     * @param changed the announcement settings
     * @return the copy
     */
    public EngineOptions withAnnouncements(AnnouncementSettings changed) {
        return new EngineOptions(
                name, zone, host, port, incarnation, checksFencing, changed, timing, memory, weightStore);
    }

    /**
     * Returns a copy with another simulated speed.
     *
     * @param changed the timing
     * @return the copy
     */
    public EngineOptions withTiming(EngineTiming changed) {
        return new EngineOptions(
                name, zone, host, port, incarnation, checksFencing, announcements, changed, memory, weightStore);
    }

    /**
     * Returns a copy with other memory settings.
     *
     * @param changed the accelerators and model sizes
     * @return the copy
     */
    public EngineOptions withMemory(EngineMemory changed) {
        return new EngineOptions(
                name, zone, host, port, incarnation, checksFencing, announcements, timing, changed, weightStore);
    }

    /**
     * Returns a copy with the check of fencing numbers enabled or disabled.
     *
     * @param checks whether orders with an outdated fencing number are rejected
     * @return the copy
     */
    public EngineOptions withChecksFencing(boolean checks) {
        return new EngineOptions(
                name, zone, host, port, incarnation, checks, announcements, timing, memory, weightStore);
    }

    /**
     * Returns a copy with a weight store.
     *
     * @param address the weight store as {@code host:port}
     * @return the copy
     */
    public EngineOptions withWeightStore(String address) {
        return new EngineOptions(
                name, zone, host, port, incarnation, checksFencing, announcements, timing, memory, address);
    }
}
