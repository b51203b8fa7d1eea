package org.borageproxy.log.consensus;

import java.util.zip.CRC32C;

import com.google.protobuf.ByteString;
import org.borageproxy.wire.proto.LogProtocol.Position;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;
import org.borageproxy.wire.proto.LogProtocol.SnapshotChunk;

/** The leader's view of the replication to another member. Not thread safe; used by the core thread. */
final class Progress {

    /** How entries are sent to the member. */
    enum Mode {
        /** One message at a time, until the last common entry of the logs is found. */
        PROBE,
        /** Messages are pipelined without waiting for acknowledgements. */
        REPLICATE,
        /** The member needs entries that have been compacted, and is sent a snapshot. */
        SNAPSHOT
    }

    private Mode mode = Mode.PROBE;

    /** The next index to send. */
    private long nextIndex;

    /** The last index known to be durable at the member and equal to the leader's. */
    private long matchIndex;

    /** Whether the member reported that its vote counts. */
    private boolean isCaughtUp;

    /** Whether a probe has been sent and not answered. */
    private boolean isProbePending;

    /** The latest round that the member answered. */
    private long answeredRound;

    /** The leader's clock when it sent the message of that round. */
    private long answeredSentAtNanos;

    /** The round of the last message sent to the member. */
    private long lastSentRound;

    /** The position of the snapshot being sent. */
    private Position snapshotPosition = Position.getDefaultInstance();

    /** The encoded snapshot being sent. */
    private ByteString snapshotBytes = ByteString.EMPTY;

    private int snapshotChecksum;

    /** The offset of the next chunk to send. */
    private long snapshotOffset;

    /**
     * Creates the progress of a member whose log is unknown.
     *
     * @param nextIndex the next index to send
     * @param expiredLeaseStartNanos a time so early that a lease starting then has expired
     */
    Progress(long nextIndex, long expiredLeaseStartNanos) {
        this.nextIndex = nextIndex;
        this.answeredSentAtNanos = expiredLeaseStartNanos;
    }

    /**
     * Records an answer of any kind; answers to earlier rounds than the latest are ignored.
     *
     * @param round the round of the answered message
     * @param sentAtNanos the leader's clock when it sent that message
     */
    void recordAnswer(long round, long sentAtNanos) {
        if (round > answeredRound) {
            answeredRound = round;
            answeredSentAtNanos = sentAtNanos;
        }
    }

    /**
     * Handles an acknowledgement of entries, and resumes replication unless a snapshot is still needed.
     *
     * @param index the last index that is durable at the member and equal to the leader's
     * @param isMemberCaughtUp whether the member reports that its vote counts
     */
    void onAccepted(long index, boolean isMemberCaughtUp) {
        isCaughtUp = isMemberCaughtUp;
        matchIndex = Math.max(matchIndex, index);
        isProbePending = false;
        if (mode == Mode.SNAPSHOT && matchIndex < snapshotPosition.getIndex()) {
            return;
        }
        nextIndex = mode == Mode.REPLICATE ? Math.max(nextIndex, matchIndex + 1) : matchIndex + 1;
        mode = Mode.REPLICATE;
        snapshotBytes = ByteString.EMPTY;
    }

    /**
     * Handles a rejection of entries because the logs differ before them; an outstanding snapshot is continued.
     *
     * @param hint the next index to send, as suggested by the member
     */
    void onRejected(long hint) {
        if (mode == Mode.SNAPSHOT) {
            return;
        }
        mode = Mode.PROBE;
        isProbePending = false;
        nextIndex = Math.max(1, Math.min(nextIndex, hint));
        matchIndex = Math.min(matchIndex, nextIndex - 1);
    }

    /** Records that entries were sent. The next index advances only in pipelined mode; a probe waits for its answer. */
    void recordSentEntries(int count) {
        if (mode == Mode.PROBE) {
            isProbePending = true;
        } else {
            nextIndex += count;
        }
    }

    /** Switches to sending a snapshot from its start. */
    void startSnapshot(Snapshot snapshot) {
        mode = Mode.SNAPSHOT;
        snapshotPosition = Position.newBuilder()
                .setIndex(snapshot.getIndex())
                .setTerm(snapshot.getTerm())
                .build();
        snapshotBytes = snapshot.toByteString();
        snapshotChecksum = checksum(snapshotBytes);
        snapshotOffset = 0;
    }

    /**
     * Handles a request for the next chunk of a snapshot.
     *
     * @param checksum the checksum of the snapshot that the member receives
     * @param offset the offset of the next byte that it needs
     * @return {@code true} if another chunk should be sent now
     */
    boolean onSnapshotOffset(int checksum, long offset) {
        if (mode != Mode.SNAPSHOT || checksum != snapshotChecksum || offset > snapshotBytes.size()) {
            return false;
        }
        snapshotOffset = offset;
        return offset < snapshotBytes.size();
    }

    /**
     * Returns the chunk at the current offset of the snapshot.
     *
     * @param maximumBytes the maximum size of the chunk's data
     */
    SnapshotChunk nextChunk(int maximumBytes) {
        int from = (int) snapshotOffset;
        int to = Math.min(snapshotBytes.size(), from + maximumBytes);
        return SnapshotChunk.newBuilder()
                .setPosition(snapshotPosition)
                .setOffset(from)
                .setTotal(snapshotBytes.size())
                .setChecksum(snapshotChecksum)
                .setData(snapshotBytes.substring(from, to))
                .build();
    }

    static int checksum(ByteString bytes) {
        CRC32C checksum = new CRC32C();
        bytes.asReadOnlyByteBufferList().forEach(checksum::update);
        return (int) checksum.getValue();
    }

    void recordSentRound(long round) {
        lastSentRound = round;
    }

    boolean hasMessageInRound(long round) {
        return lastSentRound == round;
    }

    /** Allows another probe to be sent, since the last one or its answer may have been lost. */
    void allowProbe() {
        isProbePending = false;
    }

    Mode mode() {
        return mode;
    }

    /** Returns whether a probe has been sent and its answer is pending. */
    boolean isProbePending() {
        return isProbePending;
    }

    /**
     * Returns whether the member reported that it has once stored the whole log of a leader, so that its vote counts.
     */
    boolean isCaughtUp() {
        return isCaughtUp;
    }

    long nextIndex() {
        return nextIndex;
    }

    /** Returns the last index known to be durable at the member and equal to the leader's. */
    long matchIndex() {
        return matchIndex;
    }

    long answeredRound() {
        return answeredRound;
    }

    /** Returns the leader's clock when it sent the latest message that the member answered. */
    long answeredSentAtNanos() {
        return answeredSentAtNanos;
    }
}
