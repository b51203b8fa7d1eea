package org.borageproxy.log.consensus;

import java.time.Duration;

/**
 * The bounds by which a member of the control group works; equal on all members. Immutable and thread safe.
 *
 * @param heartbeatInterval the time between two messages of the leader to a member
 * @param electionTimeoutMinimum the shortest silence of a leader after which a member campaigns
 * @param electionTimeoutMaximum the longest silence of a leader after which a member campaigns
 * @param driftMarginPercent how much shorter than the shortest election timeout a leader's lease is, in percent
 * @param maximumMessageEntries the most entries in a message
 * @param maximumMessageBytes the most bytes of commands in a message, unless one command is larger
 * @param maximumInFlightEntries the most entries sent to a member and not yet acknowledged
 * @param snapshotChunkBytes the bytes of a snapshot in a message
 * @param snapshotThresholdEntries the applied entries after which a snapshot is taken
 * @param trailingEntries the entries kept behind a snapshot for members that are a little behind
 * @param segmentBytes the size after which a segment file is closed
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

    /** Hundred percent. */
    private static final int HUNDRED_PERCENT = 100;

    /** The settings for availability zones a few milliseconds apart. */
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

    /** The settings for a group within one process. */
    public static final LogSettings IN_PROCESS =
            STANDARD.withTimeouts(Duration.ofMillis(20), Duration.ofMillis(100), Duration.ofMillis(200));

    /** Refuses bounds that contradict each other. */
    public LogSettings {
        require(heartbeatInterval.toNanos() > 0, "heartbeat must be positive");
        require(
                heartbeatInterval.multipliedBy(3).compareTo(electionTimeoutMinimum) <= 0,
                "electionTimeoutMinimum must be at least three heartbeats");
        require(
                electionTimeoutMinimum.compareTo(electionTimeoutMaximum) < 0,
                "electionTimeoutMaximum must exceed electionTimeoutMinimum");
        require(driftMarginPercent > 0 && driftMarginPercent < HUNDRED_PERCENT, "driftMarginPercent must be 1 to 99");
        require(
                maximumMessageEntries > 0 && maximumMessageBytes > 0 && maximumInFlightEntries >= maximumMessageEntries,
                "batches must fit the window");
        require(snapshotChunkBytes > 0 && snapshotThresholdEntries > 0, "snapshot bounds must be positive");
        require(trailingEntries >= 0 && segmentBytes > 0, "storage bounds must be positive");
    }

    /**
     * Returns these settings with other times.
     *
     * @param newHeartbeat the time between two messages of the leader to a member
     * @param newMinimum the shortest election timeout
     * @param newMaximum the longest election timeout
     * @return changed settings
     */
    public LogSettings withTimeouts(Duration newHeartbeat, Duration newMinimum, Duration newMaximum) {
        return new LogSettings(
                newHeartbeat,
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
     * Returns these settings with other bounds of snapshots.
     *
     * @param newSnapshotEntries the applied entries after which a snapshot is taken
     * @param newTrailingEntries the entries kept behind a snapshot
     * @param newChunkBytes the bytes of a snapshot in a message
     * @return changed settings
     */
    public LogSettings withSnapshots(int newSnapshotEntries, int newTrailingEntries, int newChunkBytes) {
        return new LogSettings(
                heartbeatInterval,
                electionTimeoutMinimum,
                electionTimeoutMaximum,
                driftMarginPercent,
                maximumMessageEntries,
                maximumMessageBytes,
                maximumInFlightEntries,
                newChunkBytes,
                newSnapshotEntries,
                newTrailingEntries,
                segmentBytes);
    }

    /**
     * Returns for how long a leader may act after a majority answered it, shorter than any election timeout.
     *
     * @return the length of the lease
     */
    public Duration leaseDuration() {
        return Duration.ofNanos(
                electionTimeoutMinimum.toNanos() / HUNDRED_PERCENT * (HUNDRED_PERCENT - driftMarginPercent));
    }

    /**
     * Refuses settings that break a rule.
     *
     * @param holds whether the rule holds
     * @param rule the rule
     */
    private static void require(boolean holds, String rule) {
        if (!holds) {
            throw new IllegalArgumentException(rule);
        }
    }
}
