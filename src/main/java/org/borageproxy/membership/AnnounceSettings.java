package org.borageproxy.membership;

/**
 * Where backend servers announce themselves. Immutable and thread safe.
 *
 * @param host the IP address to listen on
 * @param port the TCP port to listen on, zero for any free port
 * @param credential the credential that backend servers must present; never empty
 */
public record AnnounceSettings(String host, int port, String credential) {

    /** Refuses an empty credential. */
    public AnnounceSettings {
        if (credential == null || credential.isEmpty()) {
            throw new IllegalArgumentException("The announce credential must not be empty");
        }
    }

    @Override
    public String toString() {
        return "AnnounceSettings[host=" + host + ", port=" + port + "]";
    }
}
