package org.borageproxy.scheduling;

import java.util.Optional;

import org.borageproxy.time.Deadline;

/**
 * What happens to a request that found no server at once. Immutable and thread safe.
 *
 * @param waitUntil the time after which a request that waits is refused; empty if it is refused at once
 * @param retryAt the time at which requests of its kind are expected to be admitted
 */
public record AdmissionDecision(Optional<Deadline> waitUntil, Deadline retryAt) {

    static AdmissionDecision wait(Deadline until, Deadline retryAt) {
        return new AdmissionDecision(Optional.of(until), retryAt);
    }

    static AdmissionDecision refuse(Deadline retryAt) {
        return new AdmissionDecision(Optional.empty(), retryAt);
    }
}
