package org.borageproxy.log.consensus;

import java.util.ArrayList;
import java.util.List;

import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.ReadRequest;

/**
 * The reads of this member that wait for a leader's confirmation or for the local state to reach the confirmed index.
 * Not thread safe; used by the thread of the core.
 */
final class Reads {

    /** The bits of a sequence number below those drawn at the start of the process. */
    private static final int COUNTER_BITS = 32;

    /**
     * A read that waits for a leader.
     *
     * @param id the caller's number
     * @param sequence the number that the leader confirms
     */
    private record Waiting(long id, long sequence) {}

    /**
     * A read that waits for the local state.
     *
     * @param id the caller's number
     * @param index the index that the local state must reach
     */
    private record Confirmed(long id, long index) {}

    /** The member's state. */
    private final ReplicaState state;

    /** The reads that wait for a leader, oldest first. */
    private final List<Waiting> waiting = new ArrayList<>();

    /** The reads that wait for the local state. */
    private final List<Confirmed> confirmed = new ArrayList<>();

    /** The sequence number of the last read; numbers of an earlier process never match. */
    private long lastSequence;

    /** Whether the leader must be asked at the end of this batch. */
    private boolean requestDue;

    /**
     * Creates the reads of a member that starts.
     *
     * @param state the member's state
     */
    Reads(ReplicaState state) {
        this.state = state;
        this.lastSequence = (long) state.random().nextInt(Integer.MAX_VALUE) << COUNTER_BITS;
    }

    /**
     * Adds a read.
     *
     * @param id the caller's number
     */
    void add(long id) {
        lastSequence++;
        waiting.add(new Waiting(id, lastSequence));
        requestDue = true;
    }

    /** Asks again in this batch for what still waits. */
    void repeatRequest() {
        requestDue = !waiting.isEmpty();
    }

    /**
     * Confirms reads.
     *
     * @param sequence the last sequence number that is confirmed
     * @param index the index that the local state must reach
     */
    void confirm(long sequence, long index) {
        waiting.removeIf(read -> {
            boolean covered = read.sequence() <= sequence && (read.sequence() ^ sequence) >>> COUNTER_BITS == 0;
            if (covered) {
                confirmed.add(new Confirmed(read.id(), index));
            }
            return covered;
        });
    }

    /** Asks the leader for the reads of this batch. */
    void emitRequest() {
        if (!requestDue || waiting.isEmpty() || state.leader().isEmpty()) {
            return;
        }
        requestDue = false;
        ReadRequest request =
                ReadRequest.newBuilder().setSequence(lastWaiting()).build();
        state.send(state.leader().get(), LogMessage.newBuilder().setReadRequest(request));
    }

    /**
     * Returns the last read that waits for a leader.
     *
     * @return its sequence number, zero if none waits
     */
    long lastWaiting() {
        return waiting.isEmpty() ? 0 : waiting.get(waiting.size() - 1).sequence();
    }

    /** Reports the reads whose index the local state has reached. */
    void emitConfirmed() {
        confirmed.removeIf(read -> {
            boolean reached = read.index() <= state.appliedIndex();
            if (reached) {
                state.emit(new Effect.ReadConfirmed(read.id()));
            }
            return reached;
        });
    }
}
