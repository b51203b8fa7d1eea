package org.borageproxy.forward;

import java.util.List;

import org.borageproxy.execution.Fingerprint;

/**
 * The permission to send a quarantined request once. Immutable and thread safe.
 *
 * @param suspects the quarantined suspects of the request
 */
public record SuspectTrial(List<Fingerprint> suspects) {

    /** Copies the list. */
    public SuspectTrial {
        suspects = List.copyOf(suspects);
    }
}
