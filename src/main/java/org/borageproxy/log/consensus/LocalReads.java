package org.borageproxy.log.consensus;

import java.util.ArrayList;
import java.util.List;

import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.ReadRequest;

/**
 * The linearizable reads requested on this member, which wait for a leader's confirmation and then for the local state
 * to reach the confirmed index. Not thread safe; used by the core thread.
 */
final class LocalReads {

    /**
     * The number of low bits of a sequence number that count reads; the high bits are drawn at random when the process
     * starts.
     */
    private static final int COUNTER_BITS = 32;

    /**
     * A read that waits for a leader's confirmation.
     *
     * @param id the request id
     * @param sequence the sequence number that the leader confirms
     */
    private record UnconfirmedRead(long id, long sequence) {}

    /**
     * A confirmed read that waits for the local state.
     *
     * @param id the request id
     * @param index the index that the local state must reach
     */
    private record ConfirmedRead(long id, long index) {}

    private final ReplicaState state;

    /** The reads that wait for a leader's confirmation, oldest first. */
    private final List<UnconfirmedRead> unconfirmed = new ArrayList<>();

    private final List<ConfirmedRead> confirmed = new ArrayList<>();

    /**
     * The sequence number of the last read. A response to an earlier process of this member does not match any, since
     * its high bits differ.
     */
    private long lastSequence;

    /** Whether a request must be sent to the leader at the end of this batch. */
    private boolean isRequestDue;

    LocalReads(ReplicaState state) {
        this.state = state;
        this.lastSequence = (long) state.random().nextInt(Integer.MAX_VALUE) << COUNTER_BITS;
    }

    /** Adds a read; the leader is asked at the end of this batch. */
    void add(long id) {
        lastSequence++;
        unconfirmed.add(new UnconfirmedRead(id, lastSequence));
        isRequestDue = true;
    }

    /** Sends the request for the unconfirmed reads again in this batch, since the last one may have been lost. */
    void scheduleRetry() {
        isRequestDue = !unconfirmed.isEmpty();
    }

    /**
     * Confirms the reads up to a sequence number.
     *
     * @param sequence the last confirmed sequence number
     * @param index the index that the local state must reach
     */
    void confirm(long sequence, long index) {
        unconfirmed.removeIf(read -> {
            boolean isConfirmed = read.sequence() <= sequence && (read.sequence() ^ sequence) >>> COUNTER_BITS == 0;
            if (isConfirmed) {
                confirmed.add(new ConfirmedRead(read.id(), index));
            }
            return isConfirmed;
        });
    }

    /** Requests confirmation from the leader, if one is known and reads are new or retried. */
    void emitRequest() {
        if (!isRequestDue || unconfirmed.isEmpty() || state.leader().isEmpty()) {
            return;
        }
        isRequestDue = false;
        ReadRequest request =
                ReadRequest.newBuilder().setSequence(lastUnconfirmedSequence()).build();
        state.send(state.leader().get(), LogMessage.newBuilder().setReadRequest(request));
    }

    /** Returns the sequence number of the last unconfirmed read, zero if there is none. */
    long lastUnconfirmedSequence() {
        return unconfirmed.isEmpty()
                ? 0
                : unconfirmed.get(unconfirmed.size() - 1).sequence();
    }

    /** Reports the confirmed reads whose index the local state has reached. */
    void emitConfirmed() {
        confirmed.removeIf(read -> {
            boolean isIndexReached = read.index() <= state.appliedIndex();
            if (isIndexReached) {
                state.emit(new Effect.ReadConfirmed(read.id()));
            }
            return isIndexReached;
        });
    }
}
