package org.borageproxy.log.consensus;

import java.util.ArrayList;
import java.util.List;

import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.ReadResponse;

/**
 * The reads that a leader confirms: a read is current once a majority answered a message sent after the read arrived.
 * Not thread safe; used by the thread of the core.
 */
final class LeaderReads {

    /**
     * A read that waits for a majority.
     *
     * @param member the member that reads
     * @param sequence the member's number
     * @param round the first round that proves the read
     */
    private record Pending(MemberId member, long sequence, long round) {}

    /** The member's state. */
    private final ReplicaState state;

    /** The reads of this member. */
    private final Reads ownReads;

    /** The reads that wait. */
    private final List<Pending> pending = new ArrayList<>();

    /** The last of this member's reads that was added. */
    private long lastOwnSequence;

    /** The round that was sent for reads and is not answered yet; zero if none. */
    private long roundUnderWay;

    /**
     * Creates the reads of a leader.
     *
     * @param state the member's state
     * @param ownReads the reads of this member
     */
    LeaderReads(ReplicaState state, Reads ownReads) {
        this.state = state;
        this.ownReads = ownReads;
    }

    /**
     * Adds a read.
     *
     * @param member the member that reads
     * @param sequence the member's number
     */
    void add(MemberId member, long sequence) {
        pending.add(new Pending(member, sequence, state.round()));
    }

    /** Adds this member's new reads. */
    void addLocalReads() {
        long last = ownReads.lastWaiting();
        if (last != 0 && last != lastOwnSequence) {
            lastOwnSequence = last;
            add(state.self(), last);
        }
    }

    /**
     * Confirms the reads that a majority covers.
     *
     * @param answeredRound the latest round that a majority answered
     */
    void confirm(long answeredRound) {
        if (answeredRound >= roundUnderWay) {
            roundUnderWay = 0;
        }
        pending.removeIf(read -> {
            boolean covered = read.round() <= answeredRound;
            if (covered) {
                confirm(read);
            }
            return covered;
        });
    }

    /**
     * Confirms one read.
     *
     * @param read the read
     */
    private void confirm(Pending read) {
        if (read.member().equals(state.self())) {
            ownReads.confirm(read.sequence(), state.commitIndex());
            return;
        }
        ReadResponse response = ReadResponse.newBuilder()
                .setSequence(read.sequence())
                .setIndex(state.commitIndex())
                .build();
        state.send(read.member(), LogMessage.newBuilder().setReadResponse(response));
    }

    /**
     * Tells whether the members must be asked for the sake of reads, and takes note that they are.
     *
     * @return {@code true} if a round must be sent in this batch
     */
    boolean beginRoundIfDue() {
        if (pending.isEmpty() || roundUnderWay != 0) {
            return false;
        }
        roundUnderWay = state.round();
        return true;
    }
}
