package org.borageproxy.forward;

import java.util.Optional;
import java.util.function.Consumer;

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
     * Asks whether a quarantined request may be sent once, so that a wrong quarantine ends.
     *
     * @param suspects the request and the parts of its prompt
     * @param listener receives the permission, empty if there is none now; possibly called before this method returns
     */
    void requestTrial(CrashSuspects suspects, Consumer<Optional<SuspectTrial>> listener);

    /**
     * Returns a trial of a request that was not sent.
     *
     * @param trial the trial
     */
    void giveBack(SuspectTrial trial);

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
