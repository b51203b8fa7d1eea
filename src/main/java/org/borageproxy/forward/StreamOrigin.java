package org.borageproxy.forward;

import org.borageproxy.membership.BackendServer;

/**
 * What began a stream: only servers of the same service and software version can continue it. Immutable and thread
 * safe.
 *
 * @param service the service
 * @param softwareVersion the version of the software; empty if its servers state none
 */
record StreamOrigin(String service, String softwareVersion) {

    /**
     * Returns whether a server can continue the stream.
     *
     * @param server the server
     * @return {@code true} if it runs the service with the software version that began the stream
     */
    boolean matches(BackendServer server) {
        return server.services().contains(service) && server.softwareVersion().equals(softwareVersion);
    }
}
