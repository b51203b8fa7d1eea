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
 * One member of the control group as a pure state machine: inputs and the reading of the clock go in, effects come out,
 * and nothing else is touched. A leader whose lease is over steps down before it handles any input, however long the
 * process was frozen. Not thread safe; used by one thread.
 */
public final class Consensus {

    /** The member's state. */
    private final ReplicaState state;

    /** Campaigns and votes. */
    private final Elections elections;

    /** The follower's part. */
    private final FollowerReplication following;

    /** The reads of this member. */
    private final Reads reads;

    /** The leader's part, while this member leads. */
    private Optional<Leadership> leadership = Optional.empty();

    /**
     * Creates a member that starts as a follower.
     *
     * @param restored what the member knows
     * @param settings the bounds
     * @param random draws election timeouts
     * @param nowNanos the reading of the clock
     */
    public Consensus(RestoredState restored, LogSettings settings, Random random, long nowNanos) {
        this.state = new ReplicaState(restored, settings, random, nowNanos);
        this.elections = new Elections(state);
        this.following = new FollowerReplication(state);
        this.reads = new Reads(state);
    }

    /**
     * Handles inputs in order.
     *
     * @param nowNanos the reading of the clock
     * @param inputs the inputs
     * @return what must be done, in order
     */
    public List<Effect> handle(long nowNanos, List<Input> inputs) {
        state.beginBatch(nowNanos);
        endLeadershipIfOver();
        inputs.forEach(this::handle);
        endLeadershipIfOver();
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

    /**
     * Handles one input.
     *
     * @param input the input
     */
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

    /**
     * Handles a message for this member; others are dropped.
     *
     * @param message the message
     */
    private void onMessage(LogMessage message) {
        if (!state.isAddressedToSelf(message)) {
            return;
        }
        switch (message.getBodyCase()) {
            case VOTE_REQUEST -> onVoteRequest(message);
            case VOTE_RESPONSE -> leadIf(elections.onVoteResponse(message));
            case APPEND_REQUEST -> following.onAppend(message);
            case SNAPSHOT_CHUNK -> following.onSnapshotChunk(message);
            case APPEND_RESPONSE, SNAPSHOT_RESPONSE -> onAnswer(message);
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
        boolean fromLeader =
                message.hasAppendRequest() && message.getAppendRequest().getEntriesCount() == 0;
        if (fromLeader && leadership.isEmpty()) {
            reads.repeatRequest();
        }
    }

    /**
     * Handles the request of a candidate.
     *
     * @param message the request
     */
    private void onVoteRequest(LogMessage message) {
        boolean leaseHeld = leadership.map(Leadership::isLeaseHeld).orElse(false);
        elections.onVoteRequest(message, leaseHeld);
    }

    /**
     * Handles the answer of a member that follows.
     *
     * @param message the answer
     */
    private void onAnswer(LogMessage message) {
        if (message.getTerm() > state.term()) {
            state.becomeFollower(message.getTerm(), Optional.empty());
        } else if (message.getTerm() == state.term() && message.hasAppendResponse()) {
            leadership.ifPresent(leader -> leader.onAppendResponse(message));
        } else if (message.getTerm() == state.term()) {
            leadership.ifPresent(leader -> leader.onSnapshotResponse(message));
        }
    }

    /**
     * Handles the confirmation of reads.
     *
     * @param response the leader's answer
     */
    private void onReadResponse(ReadResponse response) {
        reads.confirm(response.getSequence(), response.getIndex());
    }

    /**
     * Handles a proposal.
     *
     * @param propose the proposal
     */
    private void onPropose(Input.Propose propose) {
        if (leadership.isPresent()) {
            leadership.get().propose(propose);
        } else {
            state.emit(new Effect.ProposalRefused(propose.id(), state.leader()));
        }
    }

    /**
     * Handles a change of members.
     *
     * @param change the change
     */
    private void onChangeMembers(Input.ChangeMembers change) {
        if (leadership.isPresent()) {
            leadership.get().changeMembers(change);
        } else {
            state.emit(new Effect.ChangeRefused(change.id(), MemberChange.Refusal.NOT_LEADER));
        }
    }

    /**
     * Handles the report of the disk.
     *
     * @param ticket the last durable ticket
     */
    private void onSynced(long ticket) {
        state.durability().onSynced(ticket);
        following.onSynced();
        leadIf(elections.onSynced());
    }

    /**
     * Handles an encoded state.
     *
     * @param taken the state and its index
     */
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

    /**
     * Begins leadership after an election.
     *
     * @param won whether the election was won
     */
    private void leadIf(boolean won) {
        if (won) {
            leadership = Optional.of(new Leadership(state, reads));
        }
    }

    /** Steps down if the lease is over, leadership was handed over, or the member left the group. */
    private void endLeadershipIfOver() {
        if (leadership.isPresent() && leadership.get().isOver()) {
            leadership = Optional.empty();
            state.becomeFollower(state.term(), Optional.empty());
        }
    }

    /**
     * Returns when time must be reported at the latest.
     *
     * @return the deadline
     */
    public Deadline wakeDeadline() {
        return leadership.map(Leadership::heartbeatDeadline).orElse(state.electionDeadline());
    }

    /**
     * Returns until when this member may act as leader without asking anyone; it has passed for all others.
     *
     * @return the end of the lease, or empty if this member does not lead
     */
    public Optional<Deadline> leaseDeadline() {
        return leadership.map(Leadership::leaseDeadline);
    }

    /**
     * Returns the role.
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
     * Returns the leader.
     *
     * @return the leader, if known
     */
    public Optional<MemberId> leader() {
        return state.leader();
    }

    /**
     * Returns the commit index.
     *
     * @return the last index known to be committed
     */
    public long commitIndex() {
        return state.commitIndex();
    }

    /**
     * Returns the last index of the log.
     *
     * @return the index
     */
    public long lastIndex() {
        return state.log().lastIndex();
    }

    /**
     * Returns the members that answer this leader.
     *
     * @return the members that answered within the lease; empty if this member does not lead
     */
    public Set<MemberId> responsiveMembers() {
        return leadership.map(Leadership::responsiveMembers).orElse(Set.of());
    }

    /**
     * Returns the members in force at the end of the log.
     *
     * @return the members
     */
    public Members members() {
        return state.log().members();
    }
}
