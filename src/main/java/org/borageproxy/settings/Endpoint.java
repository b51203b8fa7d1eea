package org.borageproxy.settings;

/**
 * An address on which a server of this process listens. Immutable and thread safe.
 *
 * @param host the IP address of the interface
 * @param port the TCP port; zero selects any free port
 */
public record Endpoint(String host, int port) {

    /** The largest TCP port. */
    private static final int MAX_PORT = 65_535;

    /** Creates an endpoint whose port must be in the TCP range. */
    public Endpoint {
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("Port out of range: " + port);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
