package org.borageproxy.membership;

import java.time.Duration;
import java.util.Optional;

import org.borageproxy.time.Deadline;

/**
 * Everything a VM keeps of one backend server: the newest announcement of the newest incarnation, and whether that
 * incarnation has left. Merging is commutative, associative and idempotent, so the order of arrival has no effect.
 * Immutable and thread safe.
 *
 * @param name the backend server's name
 * @param incarnation the newest incarnation heard of
 * @param left whether that incarnation has left for good
 * @param announcement its newest announcement; empty if only its leave was heard
 * @param heardAtNanos when its newest message was heard, on the monotonic clock
 * @param failed whether requests to it failed since that message
 */
record ServerRecord(
        BackendServerName name,
        long incarnation,
        boolean left,
        Optional<Announcement> announcement,
        long heardAtNanos,
        boolean failed) {

    /**
     * Returns the record of a server that was not known before.
     *
     * @param announcement its announcement
     * @param heardAtNanos when it was heard
     * @return the record
     */
    static ServerRecord of(Announcement announcement, long heardAtNanos) {
        return new ServerRecord(
                announcement.name(), announcement.incarnation(), false, Optional.of(announcement), heardAtNanos, false);
    }

    /**
     * Returns the record of a server of which only the leave was heard.
     *
     * @param name the server's name
     * @param incarnation the incarnation that left
     * @param heardAtNanos when it was heard
     * @return the record
     */
    static ServerRecord ofLeave(BackendServerName name, long incarnation, long heardAtNanos) {
        return new ServerRecord(name, incarnation, true, Optional.empty(), heardAtNanos, false);
    }

    /**
     * Returns the sequence number of the newest announcement.
     *
     * @return the number, or minus one without an announcement
     */
    long sequence() {
        return announcement.map(Announcement::sequence).orElse(-1L);
    }

    /**
     * Merges what another record of the same server knows.
     *
     * @param other the other record
     * @return this record if the other holds nothing new
     */
    ServerRecord merge(ServerRecord other) {
        if (other.incarnation < incarnation) {
            return this;
        }
        if (other.incarnation > incarnation) {
            return other;
        }
        boolean newer = other.sequence() > sequence();
        boolean leaves = other.left && !left;
        if (!newer && !leaves) {
            return this;
        }
        long heard = Math.max(heardAtNanos, other.heardAtNanos);
        return new ServerRecord(
                name,
                incarnation,
                left || other.left,
                newer ? other.announcement : announcement,
                heard,
                failed && !newer);
    }

    /**
     * Returns this record after a request to the server failed.
     *
     * @return a copy that is suspect until the next announcement
     */
    ServerRecord withFailure() {
        return new ServerRecord(name, incarnation, left, announcement, heardAtNanos, true);
    }

    /**
     * Returns this record after an announcement of an incarnation that left.
     *
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return a copy that is kept longer
     */
    ServerRecord heardAgain(long nowNanos) {
        return new ServerRecord(name, incarnation, left, announcement, nowNanos, failed);
    }

    /**
     * Tells whether heartbeats are missing or requests failed.
     *
     * @param settings the times from which deadlines are computed
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if suspect
     */
    boolean isSilent(MembershipSettings settings, long nowNanos) {
        int intervalMillis =
                announcement.map(known -> known.content().intervalMillis()).orElse(0);
        return failed || passed(settings.suspectAfter(intervalMillis), nowNanos);
    }

    /**
     * Tells whether a time has passed since the last message.
     *
     * @param duration the time
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return {@code true} if it has passed
     */
    boolean passed(Duration duration, long nowNanos) {
        return Deadline.after(heardAtNanos, duration).hasPassed(nowNanos);
    }
}
