package org.borageproxy.log.consensus;

import java.time.Duration;

/**
 * The timing, batching and storage settings of a member of the control group; equal on all members. Immutable and
 * thread safe.
 *
 * @param heartbeatInterval the maximum time between two messages of the leader to a member
 * @param electionTimeoutMinimum the lower bound of the random time without a leader's message after which a member
 *     campaigns
 * @param electionTimeoutMaximum the upper bound of that time
 * @param driftMarginPercent by how much a leader's lease is shorter than the minimum election timeout, in percent, to
 *     allow for clocks that run at different rates
 * @param maximumMessageEntries the maximum number of entries in a message
 * @param maximumMessageBytes the maximum size of the commands in a message, in bytes; a single command may exceed it
 * @param maximumInFlightEntries the number of entries sent to a member and not yet acknowledged at which no further
 *     entries are sent; the last message may exceed it
 * @param snapshotChunkBytes the maximum size of a snapshot chunk in a message, in bytes
 * @param snapshotThresholdEntries the number of entries applied since the last snapshot at which the next one is taken
 * @param trailingEntries the number of entries kept before a snapshot, so that members that are slightly behind need no
 *     snapshot
 * @param segmentBytes the size in bytes after which a segment file is closed
 */
public record LogSettings(
        Duration heartbeatInterval,
        Duration electionTimeoutMinimum,
        Duration electionTimeoutMaximum,
        int driftMarginPercent,
        int maximumMessageEntries,
        int maximumMessageBytes,
        int maximumInFlightEntries,
        int snapshotChunkBytes,
        int snapshotThresholdEntries,
        int trailingEntries,
        int segmentBytes) {

    private static final int HUNDRED_PERCENT = 100;

    /** Settings for availability zones with a few milliseconds of latency between them. */
    public static final LogSettings STANDARD = new LogSettings(
            Duration.ofMillis(100),
            Duration.ofMillis(500),
            Duration.ofMillis(1000),
            10,
            256,
            1 << 20,
            2048,
            256 << 10,
            4096,
            512,
            4 << 20);

    /** Settings for a group within one process. */
    public static final LogSettings IN_PROCESS =
            STANDARD.withTimeouts(Duration.ofMillis(20), Duration.ofMillis(100), Duration.ofMillis(200));

    /** Validates the settings. */
    public LogSettings {
        require(heartbeatInterval.toNanos() > 0, "heartbeatInterval must be positive");
        require(
                heartbeatInterval.multipliedBy(3).compareTo(electionTimeoutMinimum) <= 0,
                "electionTimeoutMinimum must be at least three times heartbeatInterval");
        require(
                electionTimeoutMinimum.compareTo(electionTimeoutMaximum) < 0,
                "electionTimeoutMaximum must exceed electionTimeoutMinimum");
        require(driftMarginPercent > 0 && driftMarginPercent < HUNDRED_PERCENT, "driftMarginPercent must be 1 to 99");
        require(
                maximumMessageEntries > 0 && maximumMessageBytes > 0 && maximumInFlightEntries >= maximumMessageEntries,
                "message limits must be positive and maximumMessageEntries at most maximumInFlightEntries");
        require(
                snapshotChunkBytes > 0 && snapshotThresholdEntries > 0,
                "snapshotChunkBytes and snapshotThresholdEntries must be positive");
        require(
                trailingEntries >= 0 && segmentBytes > 0,
                "trailingEntries must not be negative, and segmentBytes must be positive");
    }

    /**
     * Returns these settings with other times.
     *
     * @param newHeartbeatInterval the maximum time between two messages of the leader to a member
     * @param newMinimum the minimum election timeout
     * @param newMaximum the maximum election timeout
     * @return the changed settings
     */
    public LogSettings withTimeouts(Duration newHeartbeatInterval, Duration newMinimum, Duration newMaximum) {
        return new LogSettings(
                newHeartbeatInterval,
                newMinimum,
                newMaximum,
                driftMarginPercent,
                maximumMessageEntries,
                maximumMessageBytes,
                maximumInFlightEntries,
                snapshotChunkBytes,
                snapshotThresholdEntries,
                trailingEntries,
                segmentBytes);
    }

    /**
     * Returns these settings with other limits of snapshots.
     *
     * @param newThresholdEntries the number of entries applied since the last snapshot at which the next one is taken
     * @param newTrailingEntries the number of entries kept before a snapshot
     * @param newChunkBytes the maximum size of a snapshot chunk in a message, in bytes
     * @return the changed settings
     */
    public LogSettings withSnapshots(int newThresholdEntries, int newTrailingEntries, int newChunkBytes) {
        return new LogSettings(
                heartbeatInterval,
                electionTimeoutMinimum,
                electionTimeoutMaximum,
                driftMarginPercent,
                maximumMessageEntries,
                maximumMessageBytes,
                maximumInFlightEntries,
                newChunkBytes,
                newThresholdEntries,
                newTrailingEntries,
                segmentBytes);
    }

    /**
     * Returns for how long a leader holds its lease after it sent a message that a majority answered. Shorter than any
     * election timeout, so that the lease ends before another member can be elected.
     *
     * @return the duration of the lease
     */
    public Duration leaseDuration() {
        return Duration.ofNanos(
                electionTimeoutMinimum.toNanos() / HUNDRED_PERCENT * (HUNDRED_PERCENT - driftMarginPercent));
    }

    private static void require(boolean isSatisfied, String message) {
        if (!isSatisfied) {
            throw new IllegalArgumentException(message);
        }
    }
}
