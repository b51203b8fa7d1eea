package org.borageproxy.forward;

import org.borageproxy.execution.Fingerprint;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.membership.BackendServer;

/** Fleet-wide registry of requests that are suspected of crashing the backend servers that run them. */
public interface SuspectRequests {

    /**
     * Returns the suspicion against a request.
     *
     * @param fingerprint the request's fingerprint
     * @return the suspicion; quarantined requests must not be sent
     */
    Suspicion suspicion(Fingerprint fingerprint);

    /**
     * Reports that the connection to a server was lost while the server ran a request.
     *
     * @param fingerprint the request's fingerprint
     * @param server the server
     */
    void reportConnectionLoss(Fingerprint fingerprint, BackendServer server);
}
