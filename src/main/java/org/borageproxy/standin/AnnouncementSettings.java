package org.borageproxy.standin;

import java.util.List;

/**
 * The VMs that a stand-in announces itself to, and the announcement interval. Immutable and thread safe.
 *
 * @param targets the announcement endpoints of VMs as {@code host:port}; empty disables announcements
 * @param credential the bearer token of each announcement, left out of {@link #toString()}
 * @param intervalMillis the time between two announcements, in milliseconds
 */
public record AnnouncementSettings(List<String> targets, String credential, long intervalMillis) {

    /** Disables announcements. */
    public static final AnnouncementSettings DISABLED = new AnnouncementSettings(List.of(), "", 500);

    /** Copies the targets, so that later changes of the list have no effect. */
    public AnnouncementSettings {
        targets = List.copyOf(targets);
    }

    @Override
    public String toString() {
        return "Announcing[targets=" + targets + ", intervalMillis=" + intervalMillis + "]";
    }
}
