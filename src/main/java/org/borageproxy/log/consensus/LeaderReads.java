package org.borageproxy.log.consensus;

import java.util.ArrayList;
import java.util.List;

import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.ReadResponse;

/**
 * The reads that a leader confirms. A read is current once a majority has answered a message sent after the read
 * arrived, which proves that this member was still the leader when the read arrived. Not thread safe; used by the core
 * thread.
 */
final class LeaderReads {

    /**
     * A read that waits for a majority.
     *
     * @param member the member that requested the read
     * @param sequence the member's sequence number of the read
     * @param round the first round whose answers confirm the read
     */
    private record PendingRead(MemberId member, long sequence, long round) {}

    private final ReplicaState state;

    private final LocalReads localReads;

    private final List<PendingRead> pending = new ArrayList<>();

    /** The sequence number of the last local read in {@link #pending}. */
    private long lastLocalSequence;

    /** The round sent for reads that a majority has not answered yet; zero if none. */
    private long outstandingRound;

    LeaderReads(ReplicaState state, LocalReads localReads) {
        this.state = state;
        this.localReads = localReads;
    }

    /** Adds a read, which covers all reads of the member with lower sequence numbers. */
    void add(MemberId member, long sequence) {
        pending.add(new PendingRead(member, sequence, state.round()));
    }

    /** Adds the local reads that were requested since the last call. */
    void addLocalReads() {
        long lastSequence = localReads.lastUnconfirmedSequence();
        if (lastSequence != 0 && lastSequence != lastLocalSequence) {
            lastLocalSequence = lastSequence;
            add(state.self(), lastSequence);
        }
    }

    /**
     * Confirms the reads whose round a majority has answered.
     *
     * @param answeredRound the latest round that a majority has answered
     */
    void confirm(long answeredRound) {
        if (answeredRound >= outstandingRound) {
            outstandingRound = 0;
        }
        pending.removeIf(read -> {
            boolean isConfirmed = read.round() <= answeredRound;
            if (isConfirmed) {
                confirm(read);
            }
            return isConfirmed;
        });
    }

    private void confirm(PendingRead read) {
        if (read.member().equals(state.self())) {
            localReads.confirm(read.sequence(), state.commitIndex());
            return;
        }
        ReadResponse response = ReadResponse.newBuilder()
                .setSequence(read.sequence())
                .setIndex(state.commitIndex())
                .build();
        state.send(read.member(), LogMessage.newBuilder().setReadResponse(response));
    }

    /**
     * Returns whether a round must be sent to all members in this batch to confirm reads, and records it as
     * outstanding. One round is outstanding at a time; reads that arrive meanwhile share the next one.
     */
    boolean beginRoundIfDue() {
        if (pending.isEmpty() || outstandingRound != 0) {
            return false;
        }
        outstandingRound = state.round();
        return true;
    }
}
