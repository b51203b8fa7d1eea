package org.borageproxy.settings;

/**
 * Where a server listens. Immutable and thread safe.
 *
 * @param host the IP address
 * @param port the TCP port, zero for any free one
 */
public record Endpoint(String host, int port) {

    /** The largest TCP port. */
    private static final int LARGEST_PORT = 65_535;

    /** Refuses a port outside the TCP range. */
    public Endpoint {
        if (port < 0 || port > LARGEST_PORT) {
            throw new IllegalArgumentException("Port out of range: " + port);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
