package org.borageproxy.forward;

import java.util.List;

import org.borageproxy.execution.Fingerprint;
import org.borageproxy.execution.RequestDigest;
import org.borageproxy.routing.EngineWork;

/**
 * What may make a backend server crash that begins a request: the request as a whole, or a part of its prompt that
 * other requests share. Immutable and thread safe.
 *
 * @param request equal for identical requests of the same workspace
 * @param parts equal for requests of one service with the same part, in the order of the prompt; without the last part,
 *     which no other request shares
 */
public record CrashSuspects(Fingerprint request, List<Fingerprint> parts) {

    private static final int MAX_PARTS = 16;

    /** Copies the list. */
    public CrashSuspects {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the suspects of a request.
     *
     * @param request the fingerprint of the request
     * @param service the service
     * @param promptParts the parts of the prompt, in order; empty for a request without inference work
     * @return the suspects
     */
    static CrashSuspects of(Fingerprint request, String service, List<EngineWork.PromptPart> promptParts) {
        return new CrashSuspects(
                request,
                promptParts.stream()
                        .limit(Math.min(MAX_PARTS, Math.max(0, promptParts.size() - 1)))
                        .map(part -> RequestDigest.partFingerprint(service, part.identity()))
                        .distinct()
                        .toList());
    }
}
