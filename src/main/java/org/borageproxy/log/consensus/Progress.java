package org.borageproxy.log.consensus;

import java.util.zip.CRC32C;

import com.google.protobuf.ByteString;
import org.borageproxy.wire.proto.LogProtocol.Position;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;
import org.borageproxy.wire.proto.LogProtocol.SnapshotChunk;

/** What a leader knows of another member. Not thread safe; used by the thread of the core. */
final class Progress {

    /** How entries reach the member. */
    enum Mode {
        /** One message at a time until the end of the common log is found. */
        PROBE,
        /** Messages follow each other without waiting. */
        REPLICATE,
        /** The member needs entries that are compacted away and gets a snapshot. */
        SNAPSHOT
    }

    /** The mode. */
    private Mode mode = Mode.PROBE;

    /** The next index to send. */
    private long nextIndex;

    /** The last index known to be durable at the member. */
    private long matchIndex;

    /** Whether the member says that its vote counts. */
    private boolean caughtUp;

    /** Whether a probe is under way. */
    private boolean waiting;

    /** The latest round that the member answered. */
    private long answeredRound;

    /** When the latest message that the member answered was sent. */
    private long answeredSentAtNanos;

    /** The last batch in which a message went to the member. */
    private long contactedRound;

    /** The snapshot under way. */
    private Position snapshotPosition = Position.getDefaultInstance();

    /** The encoded snapshot under way. */
    private ByteString snapshotBytes = ByteString.EMPTY;

    /** The checksum of the encoded snapshot. */
    private int snapshotChecksum;

    /** The next byte of the snapshot to send. */
    private long snapshotOffset;

    /**
     * Creates the progress of a member of which nothing is known.
     *
     * @param next the next index to send
     * @param unansweredNanos a time so early that no lease follows from it
     */
    Progress(long next, long unansweredNanos) {
        this.nextIndex = next;
        this.answeredSentAtNanos = unansweredNanos;
    }

    /**
     * Notes an answer of any kind.
     *
     * @param round the round of the message that was answered
     * @param sentAtNanos when that message was sent
     */
    void recordAnswer(long round, long sentAtNanos) {
        if (round > answeredRound) {
            answeredRound = round;
            answeredSentAtNanos = sentAtNanos;
        }
    }

    /**
     * Notes that entries are durable at the member.
     *
     * @param index the last durable index equal to the leader's
     * @param memberCaughtUp whether the member says that its vote counts
     */
    void onAccepted(long index, boolean memberCaughtUp) {
        caughtUp = memberCaughtUp;
        matchIndex = Math.max(matchIndex, index);
        waiting = false;
        if (mode == Mode.SNAPSHOT && matchIndex < snapshotPosition.getIndex()) {
            return;
        }
        nextIndex = mode == Mode.REPLICATE ? Math.max(nextIndex, matchIndex + 1) : matchIndex + 1;
        mode = Mode.REPLICATE;
        snapshotBytes = ByteString.EMPTY;
    }

    /**
     * Notes that the member lacks the entries before those sent.
     *
     * @param hint where to go on
     */
    void onRejected(long hint) {
        if (mode == Mode.SNAPSHOT) {
            return;
        }
        mode = Mode.PROBE;
        waiting = false;
        nextIndex = Math.max(1, Math.min(nextIndex, hint));
        matchIndex = Math.min(matchIndex, nextIndex - 1);
    }

    /**
     * Notes that entries were sent.
     *
     * @param count how many
     */
    void recordSentEntries(int count) {
        if (mode == Mode.PROBE) {
            waiting = true;
        } else {
            nextIndex += count;
        }
    }

    /**
     * Starts to send a snapshot.
     *
     * @param snapshot the snapshot
     */
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
     * Notes how much of the snapshot the member holds.
     *
     * @param checksum the checksum of the snapshot that the member means
     * @param offset the next byte that it needs
     * @return {@code true} if another chunk should follow
     */
    boolean onSnapshotOffset(int checksum, long offset) {
        if (mode != Mode.SNAPSHOT || checksum != snapshotChecksum || offset > snapshotBytes.size()) {
            return false;
        }
        snapshotOffset = offset;
        return offset < snapshotBytes.size();
    }

    /**
     * Returns the next chunk of the snapshot.
     *
     * @param most the most bytes
     * @return the chunk
     */
    SnapshotChunk nextChunk(int most) {
        int from = (int) snapshotOffset;
        int to = Math.min(snapshotBytes.size(), from + most);
        return SnapshotChunk.newBuilder()
                .setPosition(snapshotPosition)
                .setOffset(from)
                .setTotal(snapshotBytes.size())
                .setChecksum(snapshotChecksum)
                .setData(snapshotBytes.substring(from, to))
                .build();
    }

    /**
     * Computes the checksum of an encoded snapshot.
     *
     * @param bytes the encoded snapshot
     * @return the checksum
     */
    static int checksum(ByteString bytes) {
        CRC32C checksum = new CRC32C();
        bytes.asReadOnlyByteBufferList().forEach(checksum::update);
        return (int) checksum.getValue();
    }

    /**
     * Notes that a message went to the member.
     *
     * @param round the batch
     */
    void recordSentRound(long round) {
        contactedRound = round;
    }

    /**
     * Tells whether a message went to the member in a batch.
     *
     * @param round the batch
     * @return {@code true} if one did
     */
    boolean hasMessageInRound(long round) {
        return contactedRound == round;
    }

    /** Lets a probe be sent again. */
    void allowProbe() {
        waiting = false;
    }

    /**
     * Returns the mode.
     *
     * @return the mode
     */
    Mode mode() {
        return mode;
    }

    /**
     * Tells whether a probe is under way.
     *
     * @return {@code true} while an answer is due
     */
    boolean isProbePending() {
        return waiting;
    }

    /**
     * Tells whether the member says that its vote counts.
     *
     * @return {@code true} once it held all that a leader had
     */
    boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * Returns the next index to send.
     *
     * @return the index
     */
    long nextIndex() {
        return nextIndex;
    }

    /**
     * Returns the last index known to be durable at the member.
     *
     * @return the index
     */
    long matchIndex() {
        return matchIndex;
    }

    /**
     * Returns the latest round that the member answered.
     *
     * @return the round
     */
    long answeredRound() {
        return answeredRound;
    }

    /**
     * Returns when the latest message that the member answered was sent.
     *
     * @return nanoseconds
     */
    long answeredSentAtNanos() {
        return answeredSentAtNanos;
    }
}
