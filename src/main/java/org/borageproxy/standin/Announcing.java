package org.borageproxy.standin;

import java.util.List;

/**
 * Where and how often a stand-in announces itself. Immutable and thread safe.
 *
 * @param targets the announce ports of VMs as {@code host:port}; empty to announce nowhere
 * @param credential the announce credential
 * @param intervalMillis the time between two announcements, in milliseconds
 */
public record Announcing(List<String> targets, String credential, long intervalMillis) {

    /** A stand-in that announces itself nowhere. */
    public static final Announcing NOWHERE = new Announcing(List.of(), "", 500);

    /** Copies the targets. */
    public Announcing {
        targets = List.copyOf(targets);
    }

    @Override
    public String toString() {
        return "Announcing[targets=" + targets + ", intervalMillis=" + intervalMillis + "]";
    }
}
