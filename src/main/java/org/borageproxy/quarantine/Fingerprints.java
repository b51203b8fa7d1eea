package org.borageproxy.quarantine;

import java.util.List;
import java.util.stream.Collectors;

import org.borageproxy.execution.Fingerprint;

/** Fingerprints in log lines. Stateless. */
final class Fingerprints {

    private Fingerprints() {}

    /** Returns the fingerprints joined by commas, or a hyphen without any. */
    static String join(List<Fingerprint> fingerprints) {
        return fingerprints.isEmpty()
                ? "-"
                : fingerprints.stream().map(Fingerprint::value).collect(Collectors.joining(","));
    }
}
