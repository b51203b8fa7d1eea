package org.borageproxy.standin;

import java.util.List;

/**
 * How a stand-in plain service is set up. Immutable and thread safe.
 *
 * @param name the backend server's name
 * @param zone its availability zone
 * @param host the IP address to listen on
 * @param port the TCP port to listen on, zero for any free port
 * @param incarnation the incarnation of the first start
 * @param services the names of the plain services that it runs
 * @param announcing where it announces itself
 */
public record ServiceOptions(
        String name,
        String zone,
        String host,
        int port,
        long incarnation,
        List<String> services,
        Announcing announcing) {

    /** Copies the services. */
    public ServiceOptions {
        services = List.copyOf(services);
    }

    /**
     * Returns the options of a service on a free local port.
     *
     * @param name the backend server's name
     * @param zone its availability zone
     * @param service the name of the plain service that it runs
     * @return the options
     */
    public static ServiceOptions named(String name, String zone, String service) {
        return new ServiceOptions(
                name, zone, "127.0.0.1", 0, System.currentTimeMillis(), List.of(service), Announcing.NOWHERE);
    }

    /**
     * Returns these options with another address.
     *
     * @param newHost the IP address to listen on
     * @param newPort the TCP port to listen on, zero for any free port
     * @return a copy with the address
     */
    public ServiceOptions withAddress(String newHost, int newPort) {
        return new ServiceOptions(name, zone, newHost, newPort, incarnation, services, announcing);
    }

    /**
     * Returns these options with other announcements.
     *
     * @param changed where the service announces itself
     * @return a copy with the announcements
     */
    public ServiceOptions withAnnouncing(Announcing changed) {
        return new ServiceOptions(name, zone, host, port, incarnation, services, changed);
    }
}
