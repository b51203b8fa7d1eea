package org.borageproxy.execution;

import java.util.concurrent.CompletionStage;

import org.borageproxy.membership.BackendServerName;

/** Tracks requests that were running when backend servers crashed, across all VMs. Implementations are thread safe. */
public interface CrashRegistry {

    /**
     * Returns this VM's view of a request.
     *
     * @param fingerprint the fingerprint of the request
     * @return the suspicion
     */
    Suspicion suspicion(Fingerprint fingerprint);

    /**
     * Reports that a backend server crashed while it ran a request.
     *
     * @param fingerprint the fingerprint of the request
     * @param server the backend server
     * @param incarnation the incarnation that crashed
     * @param alone whether the request was the only one on the server
     * @return the shared suspicion once the report is durable, or a failure
     */
    CompletionStage<Suspicion> reportCrash(
            Fingerprint fingerprint, BackendServerName server, long incarnation, boolean alone);

    /**
     * Ends the suspicion or quarantine of a request that was answered, or of a part of its prompt.
     *
     * @param fingerprint the fingerprint of the request or part
     */
    void reportAnswered(Fingerprint fingerprint);
}
