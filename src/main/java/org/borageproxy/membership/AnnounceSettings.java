package org.borageproxy.membership;

/**
 * Address and credential of the announce port. Immutable and thread safe. The credential is left out of
 * {@link #toString()}.
 *
 * @param host the IP address to bind
 * @param port the TCP port to bind, zero for any free port
 * @param credential the credential that backend servers must present; never empty
 */
public record AnnounceSettings(String host, int port, String credential) {

    /** Validates the credential. */
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
