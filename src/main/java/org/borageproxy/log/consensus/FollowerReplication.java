package org.borageproxy.log.consensus;

import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.wire.proto.LogProtocol.AppendRequest;
import org.borageproxy.wire.proto.LogProtocol.AppendResponse;
import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.Position;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;
import org.borageproxy.wire.proto.LogProtocol.SnapshotChunk;
import org.borageproxy.wire.proto.LogProtocol.SnapshotResponse;

/**
 * The follower's side of replication: stores the leader's entries and snapshots. Only durable entries are acknowledged.
 * Not thread safe; used by the core thread.
 */
final class FollowerReplication {

    private final ReplicaState state;

    /** The term in which {@link #matchIndex} is valid. */
    private long matchTerm;

    /** The last index at which this log is known to equal the leader's. */
    private long matchIndex;

    /** The round of the leader's last message, echoed in responses. */
    private long leaderRound;

    /** The leader's clock at its last message, echoed in responses. */
    private long leaderSentAtNanos;

    /** Whether an acknowledgement is deferred until entries are durable. */
    private boolean isAcknowledgementPending;

    /** The position of the snapshot being received. */
    private Position snapshotPosition = Position.getDefaultInstance();

    /** The checksum of the complete snapshot being received. */
    private int snapshotChecksum;

    /** The bytes of the snapshot received so far, without gaps. */
    private ByteString snapshotBytes = ByteString.EMPTY;

    FollowerReplication(ReplicaState state) {
        this.state = state;
    }

    /**
     * Follows the sender of a message as the leader, unless its term has ended.
     *
     * @param message a message that only a leader sends
     * @return {@code false} if the term has ended, in which case the message is rejected
     */
    private boolean acceptLeader(LogMessage message) {
        MemberId leader = MemberId.decode(message.getSender());
        if (message.getTerm() < state.term()) {
            reject(leader, message, 0);
            return false;
        }
        if (message.getTerm() == state.term() && state.role() == Role.LEADER) {
            throw new IllegalStateException("Two leaders in term " + state.term());
        }
        state.becomeFollower(message.getTerm(), Optional.of(leader));
        state.recordLeaderContact();
        if (matchTerm != state.term()) {
            matchTerm = state.term();
            matchIndex = 0;
        }
        leaderRound = message.getRound();
        leaderSentAtNanos = message.getSentAtNanos();
        return true;
    }

    /**
     * Stores the leader's entries, or rejects them if the logs differ before the first entry. Entries up to the base
     * index of this log are committed and thus equal on both members.
     */
    void onAppend(LogMessage message) {
        if (!acceptLeader(message)) {
            return;
        }
        AppendRequest request = message.getAppendRequest();
        Position previous = request.getPrevious();
        EntryLog log = state.log();
        boolean isBeforeBase = previous.getIndex() < log.baseIndex();
        if (!isBeforeBase && log.termAt(previous.getIndex()) != previous.getTerm()) {
            reject(MemberId.decode(message.getSender()), message, nextHint(previous.getIndex()));
            return;
        }
        request.getEntriesList().forEach(this::storeEntry);
        long lastSentIndex = Math.max(previous.getIndex() + request.getEntriesCount(), 0);
        matchIndex = Math.max(matchIndex, Math.max(lastSentIndex, log.baseIndex()));
        state.advanceCommitIndex(Math.min(request.getCommit(), matchIndex));
        if (matchIndex >= request.getLeaderLast()) {
            state.markCaughtUp();
        }
        isAcknowledgementPending = matchIndex > state.durability().durableIndex();
        if (!isAcknowledgementPending || request.getEntriesCount() == 0) {
            acknowledge();
        }
    }

    /** Appends an entry. A conflicting entry at its index is discarded with all later ones. */
    private void storeEntry(Entry entry) {
        EntryLog log = state.log();
        if (entry.getIndex() <= log.baseIndex()) {
            return;
        }
        long storedTerm = log.termAt(entry.getIndex());
        if (storedTerm == entry.getTerm()) {
            return;
        }
        if (storedTerm != EntryLog.UNKNOWN_TERM) {
            state.truncateFrom(entry.getIndex());
        }
        state.append(entry);
    }

    /**
     * Returns the index from which the leader should send next after a mismatch. The entries of the conflicting term
     * are skipped together, which saves one round trip for each.
     *
     * @param previous the index at which the logs differ
     */
    private long nextHint(long previous) {
        EntryLog log = state.log();
        if (previous > log.lastIndex()) {
            return log.lastIndex() + 1;
        }
        return Math.max(log.firstIndexOfTerm(previous), state.commitIndex() + 1);
    }

    /** Acknowledges now, or once all entries up to the match index are durable. */
    private void acknowledgeOnceDurable() {
        isAcknowledgementPending = matchIndex > state.durability().durableIndex();
        if (!isAcknowledgementPending) {
            acknowledge();
        }
    }

    /** Sends a pending acknowledgement after writes became durable. */
    void onSynced() {
        boolean isCurrentFollower = state.role() == Role.FOLLOWER && matchTerm == state.term();
        if (isAcknowledgementPending && isCurrentFollower && state.leader().isPresent()) {
            acknowledge();
            isAcknowledgementPending = matchIndex > state.durability().durableIndex();
        }
    }

    /** Acknowledges the entries that are durable and equal to the leader's. */
    private void acknowledge() {
        AppendResponse response = AppendResponse.newBuilder()
                .setSuccess(true)
                .setCaughtUp(state.isCaughtUp())
                .setMatch(Math.min(matchIndex, state.durability().durableIndex()))
                .build();
        respondToLeader(LogMessage.newBuilder().setAppendResponse(response));
    }

    /** Responds to the leader's last message once the current term is durable. */
    private void respondToLeader(LogMessage.Builder message) {
        message.setRound(leaderRound).setSentAtNanos(leaderSentAtNanos);
        state.leader().ifPresent(leader -> state.sendAfterHardState(leader, message));
    }

    /**
     * Rejects a leader's message.
     *
     * @param hint the index from which the leader should send next; zero if its term has ended
     */
    private void reject(MemberId sender, LogMessage message, long hint) {
        AppendResponse response = AppendResponse.newBuilder().setNextHint(hint).build();
        state.sendAfterHardState(
                sender,
                LogMessage.newBuilder()
                        .setRound(message.getRound())
                        .setSentAtNanos(message.getSentAtNanos())
                        .setAppendResponse(response));
    }

    /**
     * Collects a chunk of a snapshot, and installs the snapshot once it is complete. A snapshot whose entries this
     * member has already committed is not needed; the committed entries are acknowledged instead.
     */
    void onSnapshotChunk(LogMessage message) {
        if (!acceptLeader(message)) {
            return;
        }
        SnapshotChunk chunk = message.getSnapshotChunk();
        if (chunk.getPosition().getIndex() <= state.commitIndex()) {
            matchIndex = Math.max(matchIndex, state.commitIndex());
            acknowledgeOnceDurable();
            return;
        }
        if (!chunk.getPosition().equals(snapshotPosition) || chunk.getChecksum() != snapshotChecksum) {
            snapshotPosition = chunk.getPosition();
            snapshotChecksum = chunk.getChecksum();
            snapshotBytes = ByteString.EMPTY;
        }
        if (chunk.getOffset() == snapshotBytes.size()) {
            snapshotBytes = snapshotBytes.concat(chunk.getData());
        }
        if (snapshotBytes.size() == chunk.getTotal()) {
            installReceivedSnapshot();
            return;
        }
        requestNextChunk();
    }

    /** Requests the next chunk of the snapshot from the leader. */
    private void requestNextChunk() {
        SnapshotResponse response = SnapshotResponse.newBuilder()
                .setPosition(snapshotPosition)
                .setChecksum(snapshotChecksum)
                .setNextOffset(snapshotBytes.size())
                .build();
        respondToLeader(LogMessage.newBuilder().setSnapshotResponse(response));
    }

    /**
     * Installs the received snapshot, or requests it again from the start if it is damaged. If the log already holds
     * the snapshot's last entry, the entries up to it are committed and the snapshot itself is not needed.
     */
    private void installReceivedSnapshot() {
        ByteString received = snapshotBytes;
        snapshotBytes = ByteString.EMPTY;
        if (Progress.checksum(received) != snapshotChecksum) {
            requestNextChunk();
            return;
        }
        Snapshot snapshot;
        try {
            snapshot = Snapshot.parseFrom(received);
        } catch (InvalidProtocolBufferException exception) {
            requestNextChunk();
            return;
        }
        if (state.log().termAt(snapshot.getIndex()) == snapshot.getTerm()) {
            state.advanceCommitIndex(snapshot.getIndex());
        } else {
            state.installSnapshot(snapshot);
        }
        matchIndex = Math.max(matchIndex, snapshot.getIndex());
        acknowledgeOnceDurable();
    }
}
