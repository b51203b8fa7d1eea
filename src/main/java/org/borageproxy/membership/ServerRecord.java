package org.borageproxy.membership;

import java.time.Duration;
import java.util.Optional;

import org.borageproxy.time.Deadline;

/**
 * Record of one backend server on one VM: the latest announcement of the latest incarnation, and whether that
 * incarnation has left. Merging by incarnation, sequence number and leave is commutative, associative and idempotent,
 * so the order of arrival has no effect. Immutable and thread safe.
 *
 * @param name the name of the backend server
 * @param incarnation the latest known incarnation
 * @param left whether that incarnation has left permanently
 * @param announcement its latest announcement; empty if only its leave has arrived
 * @param lastMessageNanos the time at which the backend server's latest message reached any VM, estimated on the
 *     monotonic clock of this VM
 * @param failed whether a request to it failed since that message
 */
record ServerRecord(
        BackendServerName name,
        long incarnation,
        boolean left,
        Optional<Announcement> announcement,
        long lastMessageNanos,
        boolean failed) {

    /** Returns the record for an announcement. */
    static ServerRecord of(Announcement announcement, long receivedAtNanos) {
        return new ServerRecord(
                announcement.name(),
                announcement.incarnation(),
                false,
                Optional.of(announcement),
                receivedAtNanos,
                false);
    }

    /** Returns the record for a leave without an announcement. */
    static ServerRecord ofLeave(BackendServerName name, long incarnation, long receivedAtNanos) {
        return new ServerRecord(name, incarnation, true, Optional.empty(), receivedAtNanos, false);
    }

    /** Returns the sequence number of the latest announcement, or minus one without one. */
    long sequence() {
        return announcement.map(Announcement::sequence).orElse(-1L);
    }

    /** Merges another record of the same server. Returns this record if the other one is not newer. */
    ServerRecord merge(ServerRecord other) {
        if (other.incarnation < incarnation) {
            return this;
        }
        if (other.incarnation > incarnation) {
            return other;
        }
        boolean isNewer = other.sequence() > sequence();
        boolean isLeaving = other.left && !left;
        if (!isNewer && !isLeaving) {
            return this;
        }
        long latestNanos = Math.max(lastMessageNanos, other.lastMessageNanos);
        return new ServerRecord(
                name,
                incarnation,
                left || other.left,
                isNewer ? other.announcement : announcement,
                latestNanos,
                failed && !isNewer);
    }

    /** Returns a copy that is suspect until the next announcement. */
    ServerRecord withFailure() {
        return new ServerRecord(name, incarnation, left, announcement, lastMessageNanos, true);
    }

    /**
     * Returns a copy with a later time of the last message, which extends the retention of an incarnation that left.
     */
    ServerRecord withLastMessage(long nowNanos) {
        return new ServerRecord(name, incarnation, left, announcement, nowNanos, failed);
    }

    /** Whether heartbeats are missing or a request failed. */
    boolean isUnresponsive(MembershipSettings settings, long nowNanos) {
        int intervalMillis =
                announcement.map(latest -> latest.content().intervalMillis()).orElse(0);
        return failed || isSilentFor(settings.suspectAfter(intervalMillis), nowNanos);
    }

    /** Whether no message has arrived for longer than a duration. */
    boolean isSilentFor(Duration duration, long nowNanos) {
        return Deadline.after(lastMessageNanos, duration).hasPassed(nowNanos);
    }
}
