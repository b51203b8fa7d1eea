package org.borageproxy.execution;

import java.util.concurrent.CompletionStage;

import org.borageproxy.membership.BackendServerName;

/** What the fleet knows of requests that end backend servers. Implementations are safe for use by any thread. */
public interface CrashRegistry {

    /**
     * Returns what this VM knows of a request.
     *
     * @param fingerprint the request
     * @return the suspicion
     */
    Suspicion suspicion(Fingerprint fingerprint);

    /**
     * Reports that a backend server ended while it ran a request.
     *
     * @param fingerprint the request
     * @param server the backend server that ended
     * @param incarnation the incarnation that ended
     * @param alone whether the request ran alone there
     * @return the fleet's suspicion once the report is durable, or a failure
     */
    CompletionStage<Suspicion> reportCrash(
            Fingerprint fingerprint, BackendServerName server, long incarnation, boolean alone);

    /**
     * Reports that a suspect request was answered, which clears it.
     *
     * @param fingerprint the request
     */
    void reportAnswered(Fingerprint fingerprint);
}
