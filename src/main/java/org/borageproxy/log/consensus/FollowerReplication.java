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
 * Takes entries and snapshots of the leader. Only durable entries are acknowledged. Not thread safe; used by the thread
 * of the core.
 */
final class FollowerReplication {

    /** The member's state. */
    private final ReplicaState state;

    /** The term for which {@link #matched} holds. */
    private long matchedTerm;

    /** The last index known to equal the leader's log. */
    private long matched;

    /** The round of the leader's last message. */
    private long leaderRound;

    /** The leader's clock at its last message. */
    private long leaderSentAtNanos;

    /** Whether an acknowledgement waits for the disk. */
    private boolean acknowledgementDue;

    /** The snapshot under way. */
    private Position snapshotPosition = Position.getDefaultInstance();

    /** The checksum of the snapshot under way. */
    private int snapshotChecksum;

    /** The bytes of the snapshot received so far. */
    private ByteString snapshotBytes = ByteString.EMPTY;

    /**
     * Creates the follower's part of a member.
     *
     * @param state the member's state
     */
    FollowerReplication(ReplicaState state) {
        this.state = state;
    }

    /**
     * Accepts the sender of a message as the leader, unless its term is over.
     *
     * @param message a message that only a leader sends
     * @return {@code false} if the term is over
     */
    private boolean accept(LogMessage message) {
        MemberId leader = MemberId.decode(message.getSender());
        if (message.getTerm() < state.term()) {
            refuse(leader, message, 0);
            return false;
        }
        if (message.getTerm() == state.term() && state.role() == Role.LEADER) {
            throw new IllegalStateException("Two leaders in term " + state.term());
        }
        state.becomeFollower(message.getTerm(), Optional.of(leader));
        state.recordLeaderContact();
        if (matchedTerm != state.term()) {
            matchedTerm = state.term();
            matched = 0;
        }
        leaderRound = message.getRound();
        leaderSentAtNanos = message.getSentAtNanos();
        return true;
    }

    /**
     * Takes entries.
     *
     * @param message the leader's message
     */
    void onAppend(LogMessage message) {
        if (!accept(message)) {
            return;
        }
        AppendRequest request = message.getAppendRequest();
        Position previous = request.getPrevious();
        EntryLog log = state.log();
        boolean behindBase = previous.getIndex() < log.baseIndex();
        if (!behindBase && log.termAt(previous.getIndex()) != previous.getTerm()) {
            refuse(MemberId.decode(message.getSender()), message, nextHint(previous.getIndex()));
            return;
        }
        request.getEntriesList().forEach(this::take);
        long reached = Math.max(previous.getIndex() + request.getEntriesCount(), 0);
        matched = Math.max(matched, Math.max(reached, log.baseIndex()));
        state.advanceCommitIndex(Math.min(request.getCommit(), matched));
        if (matched >= request.getLeaderLast()) {
            state.markCaughtUp();
        }
        acknowledgementDue = matched > state.durability().durableIndex();
        if (!acknowledgementDue || request.getEntriesCount() == 0) {
            acknowledge();
        }
    }

    /**
     * Takes one entry, and discards a conflicting one with all after it.
     *
     * @param entry the entry
     */
    private void take(Entry entry) {
        EntryLog log = state.log();
        if (entry.getIndex() <= log.baseIndex()) {
            return;
        }
        long held = log.termAt(entry.getIndex());
        if (held == entry.getTerm()) {
            return;
        }
        if (held != EntryLog.UNKNOWN_TERM) {
            state.truncateFrom(entry.getIndex());
        }
        state.append(entry);
    }

    /**
     * Returns where the leader should go on after a mismatch.
     *
     * @param previous the index at which the logs differ
     * @return the next index to try
     */
    private long nextHint(long previous) {
        EntryLog log = state.log();
        if (previous > log.lastIndex()) {
            return log.lastIndex() + 1;
        }
        return Math.max(log.firstIndexOfTerm(previous), state.commitIndex() + 1);
    }

    /** Acknowledges now, or when the disk has written what the leader sent. */
    private void acknowledgeOnceDurable() {
        acknowledgementDue = matched > state.durability().durableIndex();
        if (!acknowledgementDue) {
            acknowledge();
        }
    }

    /** Acknowledges what became durable. */
    void onSynced() {
        boolean current = state.role() == Role.FOLLOWER && matchedTerm == state.term();
        if (acknowledgementDue && current && state.leader().isPresent()) {
            acknowledge();
            acknowledgementDue = matched > state.durability().durableIndex();
        }
    }

    /** Acknowledges what is durable and equal to the leader's log. */
    private void acknowledge() {
        AppendResponse response = AppendResponse.newBuilder()
                .setSuccess(true)
                .setCaughtUp(state.isCaughtUp())
                .setMatch(Math.min(matched, state.durability().durableIndex()))
                .build();
        answer(LogMessage.newBuilder().setAppendResponse(response));
    }

    /**
     * Answers the leader's last message once the term is durable.
     *
     * @param message the answer's body
     */
    private void answer(LogMessage.Builder message) {
        message.setRound(leaderRound).setSentAtNanos(leaderSentAtNanos);
        state.leader().ifPresent(leader -> state.sendAfterHardState(leader, message));
    }

    /**
     * Refuses entries.
     *
     * @param sender the member that sent them
     * @param message its message
     * @param hint where to go on
     */
    private void refuse(MemberId sender, LogMessage message, long hint) {
        AppendResponse response = AppendResponse.newBuilder().setNextHint(hint).build();
        state.sendAfterHardState(
                sender,
                LogMessage.newBuilder()
                        .setRound(message.getRound())
                        .setSentAtNanos(message.getSentAtNanos())
                        .setAppendResponse(response));
    }

    /**
     * Takes a chunk of a snapshot, and installs the snapshot once it is whole.
     *
     * @param message the leader's message
     */
    void onSnapshotChunk(LogMessage message) {
        if (!accept(message)) {
            return;
        }
        SnapshotChunk chunk = message.getSnapshotChunk();
        if (chunk.getPosition().getIndex() <= state.commitIndex()) {
            matched = Math.max(matched, state.commitIndex());
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
            installReceived();
            return;
        }
        answerChunk();
    }

    /** Tells the leader which byte of the snapshot is needed next. */
    private void answerChunk() {
        SnapshotResponse response = SnapshotResponse.newBuilder()
                .setPosition(snapshotPosition)
                .setChecksum(snapshotChecksum)
                .setNextOffset(snapshotBytes.size())
                .build();
        answer(LogMessage.newBuilder().setSnapshotResponse(response));
    }

    /** Installs the received snapshot, or starts over if it is damaged. */
    private void installReceived() {
        ByteString received = snapshotBytes;
        snapshotBytes = ByteString.EMPTY;
        if (Progress.checksum(received) != snapshotChecksum) {
            answerChunk();
            return;
        }
        Snapshot snapshot;
        try {
            snapshot = Snapshot.parseFrom(received);
        } catch (InvalidProtocolBufferException exception) {
            answerChunk();
            return;
        }
        if (state.log().termAt(snapshot.getIndex()) == snapshot.getTerm()) {
            state.advanceCommitIndex(snapshot.getIndex());
        } else {
            state.installSnapshot(snapshot);
        }
        matched = Math.max(matched, snapshot.getIndex());
        acknowledgeOnceDurable();
    }
}
