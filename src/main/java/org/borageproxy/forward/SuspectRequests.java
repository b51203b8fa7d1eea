package org.borageproxy.forward;

import org.borageproxy.execution.Fingerprint;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.membership.BackendServer;

/** Requests that ended the backend servers that ran them, as the whole fleet knows them. */
public interface SuspectRequests {

    /**
     * Returns what is known of a request.
     *
     * @param fingerprint the request's fingerprint
     * @return the suspicion
     */
    Suspicion suspicion(Fingerprint fingerprint);

    /**
     * Reports that a server's connection was lost while it ran a request.
     *
     * @param fingerprint the request's fingerprint
     * @param server the server
     */
    void reportConnectionLoss(Fingerprint fingerprint, BackendServer server);
}
