package org.borageproxy.forward;

import org.borageproxy.membership.BackendServer;

/** Fleet-wide registry of requests, and parts of prompts, that are suspected of crashing backend servers. */
public interface SuspectRequests {

    /**
     * Returns whether a request must not be sent.
     *
     * @param suspects the request and the parts of its prompt
     * @return {@code true} if one of them is quarantined
     */
    boolean isQuarantined(CrashSuspects suspects);

    /**
     * Reports that the connection to a server was lost while the server was beginning a request.
     *
     * @param suspects the request and the parts of its prompt
     * @param server the server
     */
    void reportConnectionLoss(CrashSuspects suspects, BackendServer server);

    /**
     * Reports that a server has survived the beginning of a request, which clears its suspects.
     *
     * @param suspects the request and the parts of its prompt
     */
    void reportHarmless(CrashSuspects suspects);
}
