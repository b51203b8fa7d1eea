package org.borageproxy.log.consensus;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.borageproxy.time.Deadline;
import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.ReadResponse;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * The consensus core of one member, a variant of Raft, as a deterministic state machine: {@link #handle} maps inputs
 * and the current time to effects and performs no I/O. A leader whose lease has expired steps down before it handles
 * any input, however long the process was suspended. Not thread safe; used by one thread.
 */
public final class Consensus {

    private final ReplicaState state;

    private final Elections elections;

    private final FollowerReplication followerReplication;

    private final LocalReads reads;

    /** Present while this member leads. */
    private Optional<Leadership> leadership = Optional.empty();

    /**
     * Creates a member that starts as a follower.
     *
     * @param restored the state restored from storage
     * @param settings the timing, batching and storage settings
     * @param random the source of random election timeouts
     * @param nowNanos the current time on the monotonic clock
     */
    public Consensus(RestoredState restored, LogSettings settings, Random random, long nowNanos) {
        this.state = new ReplicaState(restored, settings, random, nowNanos);
        this.elections = new Elections(state);
        this.followerReplication = new FollowerReplication(state);
        this.reads = new LocalReads(state);
    }

    /**
     * Handles a batch of inputs in order.
     *
     * @param nowNanos the current time on the monotonic clock
     * @param inputs the inputs; an empty list lets only time advance
     * @return the effects to execute, in order
     */
    public List<Effect> handle(long nowNanos, List<Input> inputs) {
        state.beginBatch(nowNanos);
        stepDownIfOver();
        inputs.forEach(this::handle);
        stepDownIfOver();
        if (leadership.isEmpty() && state.electionDeadline().hasPassed(nowNanos)) {
            elections.startPreVote();
        }
        leadership.ifPresent(Leadership::finishBatch);
        state.emitWrites();
        state.emitApplies();
        if (leadership.isEmpty()) {
            reads.emitRequest();
        }
        reads.emitConfirmed();
        return state.drainEffects();
    }

    private void handle(Input input) {
        if (input instanceof Input.Receive receive) {
            onMessage(receive.message());
        } else if (input instanceof Input.Propose propose) {
            onPropose(propose);
        } else if (input instanceof Input.ConfirmRead read) {
            reads.add(read.id());
        } else if (input instanceof Input.Synced synced) {
            onSynced(synced.writeNumber());
        } else if (input instanceof Input.SnapshotTaken taken) {
            onSnapshotTaken(taken);
        } else if (input instanceof Input.ChangeMembers change) {
            onChangeMembers(change);
        } else if (input instanceof Input.TransferLeadership) {
            leadership.ifPresent(Leadership::startTransfer);
        }
    }

    /** Handles a message addressed to this member; others are dropped. */
    private void onMessage(LogMessage message) {
        if (!state.isAddressedToSelf(message)) {
            return;
        }
        switch (message.getBodyCase()) {
            case VOTE_REQUEST -> onVoteRequest(message);
            case VOTE_RESPONSE -> startLeadershipIf(elections.onVoteResponse(message));
            case APPEND_REQUEST -> followerReplication.onAppend(message);
            case SNAPSHOT_CHUNK -> followerReplication.onSnapshotChunk(message);
            case APPEND_RESPONSE, SNAPSHOT_RESPONSE -> onFollowerResponse(message);
            case READ_REQUEST -> leadership.ifPresent(leader -> leader.onReadRequest(message));
            case READ_RESPONSE -> onReadResponse(message.getReadResponse());
            case CAMPAIGN_NOW -> elections.onCampaignNow(message);
            default -> {
                return;
            }
        }
        if (state.role() != Role.LEADER) {
            leadership = Optional.empty();
        }
        boolean isHeartbeat =
                message.hasAppendRequest() && message.getAppendRequest().getEntriesCount() == 0;
        if (isHeartbeat && leadership.isEmpty()) {
            reads.scheduleRetry();
        }
    }

    private void onVoteRequest(LogMessage message) {
        boolean isLeaseHeld = leadership.map(Leadership::isLeaseHeld).orElse(false);
        elections.onVoteRequest(message, isLeaseHeld);
    }

    /** Handles a response of a follower; a later term deposes this leader, a response of an earlier term is dropped. */
    private void onFollowerResponse(LogMessage message) {
        if (message.getTerm() > state.term()) {
            state.becomeFollower(message.getTerm(), Optional.empty());
        } else if (message.getTerm() == state.term() && message.hasAppendResponse()) {
            leadership.ifPresent(leader -> leader.onAppendResponse(message));
        } else if (message.getTerm() == state.term()) {
            leadership.ifPresent(leader -> leader.onSnapshotResponse(message));
        }
    }

    private void onReadResponse(ReadResponse response) {
        reads.confirm(response.getSequence(), response.getIndex());
    }

    private void onPropose(Input.Propose propose) {
        if (leadership.isPresent()) {
            leadership.get().propose(propose);
        } else {
            state.emit(new Effect.ProposalRefused(propose.id(), state.leader()));
        }
    }

    private void onChangeMembers(Input.ChangeMembers change) {
        if (leadership.isPresent()) {
            leadership.get().changeMembers(change);
        } else {
            state.emit(new Effect.ChangeRefused(change.id(), MemberChange.Refusal.NOT_LEADER));
        }
    }

    private void onSynced(long writeNumber) {
        state.durability().onSynced(writeNumber);
        followerReplication.onSynced();
        startLeadershipIf(elections.onSynced());
    }

    /** Saves an encoded state and compacts the log, unless a newer snapshot has replaced that state. */
    private void onSnapshotTaken(Input.SnapshotTaken taken) {
        EntryLog log = state.log();
        if (taken.index() <= log.snapshot().getIndex() || taken.index() > state.appliedIndex()) {
            return;
        }
        Snapshot snapshot = Snapshot.newBuilder()
                .setIndex(taken.index())
                .setTerm(log.termAt(taken.index()))
                .setStateMillis(log.entry(taken.index()).getStateMillis())
                .setMembers(log.membersAt(taken.index()).encode())
                .setState(taken.state())
                .build();
        log.compact(snapshot, state.settings().trailingEntries());
        state.durability().save(snapshot);
    }

    private void startLeadershipIf(boolean isWon) {
        if (isWon) {
            leadership = Optional.of(new Leadership(state, reads));
        }
    }

    /** Steps down if the lease has expired or leadership was transferred; a leader that left the group transfers it. */
    private void stepDownIfOver() {
        if (leadership.isPresent() && leadership.get().advanceTransferAndCheckEnd()) {
            leadership = Optional.empty();
            state.becomeFollower(state.term(), Optional.empty());
        }
    }

    /**
     * Returns the time at which {@link #handle} must be called next even if there are no inputs.
     *
     * @return the next heartbeat of a leader, or the election timeout of another member
     */
    public Deadline wakeDeadline() {
        return leadership.map(Leadership::heartbeatDeadline).orElse(state.electionDeadline());
    }

    /**
     * Returns until when this member may act as leader without being confirmed by a majority again. While the lease
     * runs, no other member can be elected.
     *
     * @return the end of the lease, which may have passed, or empty if this member does not lead
     */
    public Optional<Deadline> leaseDeadline() {
        return leadership.map(Leadership::leaseDeadline);
    }

    /**
     * Returns the role in the current term.
     *
     * @return the role
     */
    public Role role() {
        return state.role();
    }

    /**
     * Returns the current term.
     *
     * @return the term
     */
    public long term() {
        return state.term();
    }

    /**
     * Returns the leader of the current term.
     *
     * @return the leader, or empty if unknown
     */
    public Optional<MemberId> leader() {
        return state.leader();
    }

    /**
     * Returns the highest index known to this member to be committed.
     *
     * @return the index, zero before the first entry
     */
    public long commitIndex() {
        return state.commitIndex();
    }

    /**
     * Returns the index of the last entry in the log, committed or not.
     *
     * @return the index, zero before the first entry
     */
    public long lastIndex() {
        return state.log().lastIndex();
    }

    /**
     * Returns the members that answered this leader within the lease duration, including the leader itself.
     *
     * @return the members; empty if this member does not lead
     */
    public Set<MemberId> responsiveMembers() {
        return leadership.map(Leadership::responsiveMembers).orElse(Set.of());
    }

    /**
     * Returns the other members that answered this leader within the lease duration and hold all committed entries.
     *
     * @return the members; empty if this member does not lead
     */
    public Set<MemberId> upToDateMembers() {
        return leadership.map(Leadership::upToDateMembers).orElse(Set.of());
    }

    /**
     * Returns the members in force, as of the last entry in the log, committed or not.
     *
     * @return the members
     */
    public Members members() {
        return state.log().members();
    }
}
