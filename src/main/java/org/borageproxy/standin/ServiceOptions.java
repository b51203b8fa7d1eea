package org.borageproxy.standin;

import java.util.List;

/**
 * The settings of a simulated plain service. Immutable and thread safe.
 *
 * @param name the backend server's name
 * @param zone the backend server's availability zone
 * @param host the IP address to listen on
 * @param port the TCP port to listen on, zero for any free port
 * @param incarnation the incarnation of the first start; each restart increments it
 * @param services the names of the plain services that the backend server runs
 * @param announcements the VMs that the backend server announces itself to, and the announcement interval
 */
public record ServiceOptions(
        String name,
        String zone,
        String host,
        int port,
        long incarnation,
        List<String> services,
        AnnouncementSettings announcements) {

    /** Creates a copy that later changes of the list do not affect. */
    public ServiceOptions {
        services = List.copyOf(services);
    }

    /**
     * Returns the options of a backend server that listens on a free local port and does not announce itself.
     *
     * @param name the backend server's name
     * @param zone the backend server's availability zone
     * @param service the name of its only plain service
     * @return the options
     */
    public static ServiceOptions named(String name, String zone, String service) {
        return new ServiceOptions(
                name,
                zone,
                "127.0.0.1",
                0,
                System.currentTimeMillis(),
                List.of(service),
                AnnouncementSettings.DISABLED);
    }

    /**
     * Returns a copy with another address.
     *
     * @param newHost the IP address to listen on
     * @param newPort the TCP port to listen on, zero for any free port
     * @return the copy
     */
    public ServiceOptions withAddress(String newHost, int newPort) {
        return new ServiceOptions(name, zone, newHost, newPort, incarnation, services, announcements);
    }

    /**
     * Returns a copy with other announcement settings.
     *
     * @param changed the announcement settings
     * @return the copy
     */
    public ServiceOptions withAnnouncements(AnnouncementSettings changed) {
        return new ServiceOptions(name, zone, host, port, incarnation, services, changed);
    }
}
