package org.borageproxy.log.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.borageproxy.time.Deadline;
import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.HardState;
import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;

/**
 * The state that a member has in every role: term, vote, log, commit index, and the effects of the current batch of
 * inputs. The term and the commit index never decrease. Not thread safe; used by the core thread.
 */
final class ReplicaState {

    private final String group;

    private final MemberId self;

    /** Whether this member was among the initial voters of the group when its data folder was created. */
    private final boolean isInitialVoter;

    private final LogSettings settings;

    private final Random random;

    private final EntryLog log;

    private final Durability durability;

    /** The effects of the current batch. */
    private final List<Effect> effects = new ArrayList<>();

    /** The time at which the current batch is handled. */
    private long nowNanos;

    /** The number of the current batch; the leader stamps its messages with it. */
    private long round;

    private long term;

    private Optional<MemberId> votedFor;

    /**
     * Whether this member has once stored the whole log of a leader. Until then its vote does not count, since the
     * member may have lost its data.
     */
    private boolean isCaughtUp;

    private Role role = Role.FOLLOWER;

    private Optional<MemberId> leader = Optional.empty();

    /**
     * The time of the last message of a leader. The start of the member counts as one, since the member may have
     * answered, before a restart, a leader whose lease is still running.
     */
    private long lastLeaderContactNanos;

    private Deadline electionDeadline;

    private long commitIndex;

    private long appliedIndex;

    /**
     * Restores the state of a member. The term is at least that of the last entry; the vote is valid only for the
     * stored term.
     */
    ReplicaState(RestoredState restored, LogSettings settings, Random random, long nowNanos) {
        this.group = restored.group();
        this.self = restored.self();
        this.isInitialVoter = restored.initialMembers().voters().contains(self);
        this.settings = settings;
        this.random = random;
        this.nowNanos = nowNanos;
        this.log = new EntryLog(restored);
        this.durability = new Durability(log.lastIndex());
        HardState hardState = restored.hardState();
        this.term = Math.max(hardState.getTerm(), log.lastTerm());
        boolean hasVoted = hardState.hasVotedFor() && term == hardState.getTerm();
        this.votedFor = hasVoted ? Optional.of(MemberId.decode(hardState.getVotedFor())) : Optional.empty();
        this.isCaughtUp = hardState.getCaughtUp();
        this.commitIndex = log.snapshot().getIndex();
        this.appliedIndex = commitIndex;
        this.lastLeaderContactNanos = nowNanos;
        if (commitIndex > 0) {
            effects.add(new Effect.Restore(log.snapshot()));
        }
        resetElectionTimer();
    }

    void beginBatch(long currentNanos) {
        nowNanos = currentNanos;
        round++;
    }

    /** Returns the effects of the current batch and clears them. */
    List<Effect> drainEffects() {
        List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    void emit(Effect effect) {
        effects.add(effect);
    }

    /** Emits the writes collected in this batch. */
    void emitWrites() {
        durability.issueWrite(log.lastIndex()).ifPresent(effects::add);
    }

    /** Emits the newly committed entries for the state machine. */
    void emitApplies() {
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            effects.add(new Effect.Apply(log.entry(appliedIndex)));
        }
    }

    /** Sends a message once the current term and vote are durable. */
    void sendAfterHardState(MemberId recipient, LogMessage.Builder message) {
        emit(new Effect.Send(recipient, completeEnvelope(recipient, message), durability.hardStateWriteNumber()));
    }

    /** Sends a message without waiting for a write. */
    void send(MemberId recipient, LogMessage.Builder message) {
        emit(new Effect.Send(recipient, completeEnvelope(recipient, message), 0));
    }

    /** Adds group, sender, recipient and current term to a message. */
    private LogMessage completeEnvelope(MemberId recipient, LogMessage.Builder message) {
        return message.setGroup(group)
                .setSender(self.encode())
                .setRecipient(recipient.encode())
                .setTerm(term)
                .build();
    }

    /**
     * Returns whether a message is for this member. It is not if it was sent in another group or to an earlier member
     * on this VM.
     */
    boolean isAddressedToSelf(LogMessage message) {
        return message.getGroup().equals(group)
                && MemberId.decode(message.getRecipient()).equals(self);
    }

    /** Draws a new random election timeout, which starts now. */
    void resetElectionTimer() {
        long minimumNanos = settings.electionTimeoutMinimum().toNanos();
        long rangeNanos = settings.electionTimeoutMaximum().toNanos() - minimumNanos;
        electionDeadline = new Deadline(nowNanos + minimumNanos + (long) (random.nextDouble() * rangeNanos));
    }

    void recordLeaderContact() {
        lastLeaderContactNanos = nowNanos;
        resetElectionTimer();
    }

    /**
     * Returns whether a leader may hold a lease that relies on this member, which is the case within the minimum
     * election timeout after the last message of a leader.
     */
    boolean mayLeaderHoldLease() {
        return nowNanos - lastLeaderContactNanos
                < settings.electionTimeoutMinimum().toNanos();
    }

    /**
     * Becomes a follower, in a later term or the current one.
     *
     * @param newTerm the term; the current term is kept if it is later
     * @param newLeader the leader, if known
     */
    void becomeFollower(long newTerm, Optional<MemberId> newLeader) {
        if (newTerm > term) {
            enterTerm(newTerm, Optional.empty());
        }
        changeRole(Role.FOLLOWER, newLeader);
    }

    /**
     * Enters a later term.
     *
     * @param newTerm the term
     * @param newVote the member that gets this member's vote in the term, if any
     */
    void enterTerm(long newTerm, Optional<MemberId> newVote) {
        term = newTerm;
        votedFor = newVote;
        persistHardState();
    }

    /** Votes for a candidate in the current term; has no effect if this member has already voted. */
    void grantVote(MemberId candidate) {
        if (votedFor.isEmpty()) {
            votedFor = Optional.of(candidate);
            persistHardState();
        }
    }

    /** Records that this member has stored the whole log of its leader. */
    void markCaughtUp() {
        if (!isCaughtUp) {
            isCaughtUp = true;
            persistHardState();
        }
    }

    private void persistHardState() {
        HardState.Builder state = HardState.newBuilder().setTerm(term).setCaughtUp(isCaughtUp);
        votedFor.ifPresent(candidate -> state.setVotedFor(candidate.encode()));
        durability.save(state.build());
    }

    void changeRole(Role newRole, Optional<MemberId> newLeader) {
        boolean isUnchanged = role == newRole && leader.equals(newLeader);
        if (role == Role.LEADER && newRole == Role.FOLLOWER) {
            resetElectionTimer();
        }
        role = newRole;
        leader = newLeader;
        if (!isUnchanged) {
            effects.add(new Effect.RoleChanged(newRole, term, newLeader));
        }
    }

    void append(Entry entry) {
        log.append(entry);
        durability.append(entry);
    }

    /**
     * Discards entries that conflict with those of the leader.
     *
     * @param index the first index to discard
     * @throws IllegalStateException if the entry at the index is committed
     */
    void truncateFrom(long index) {
        if (index <= commitIndex) {
            throw new IllegalStateException("Truncation would discard a committed entry at index " + index);
        }
        log.truncateFrom(index);
        durability.truncateFrom(index);
    }

    /** Replaces the log and the state by a leader's snapshot. */
    void installSnapshot(Snapshot snapshot) {
        log.replaceWith(snapshot);
        durability.replaceLog(snapshot);
        commitIndex = snapshot.getIndex();
        appliedIndex = commitIndex;
        effects.add(new Effect.Restore(snapshot));
    }

    /**
     * Raises the commit index; a lower index is ignored.
     *
     * @return {@code true} if the commit index rose
     */
    boolean advanceCommitIndex(long index) {
        if (index <= commitIndex) {
            return false;
        }
        commitIndex = index;
        return true;
    }

    boolean isVoter() {
        return log.members().voters().contains(self);
    }

    /** Returns whether this member has once stored the whole log of a leader, so that its vote counts. */
    boolean isCaughtUp() {
        return isCaughtUp;
    }

    /**
     * Returns whether a vote for a candidate is safe: its log must be at least as up to date as this one. A member that
     * never caught up may have lost its data; it may vote only if it is an initial voter and both logs are empty.
     *
     * @param lastTerm the term of the candidate's last entry
     * @param lastIndex the index of the candidate's last entry
     */
    boolean mayVoteFor(long lastTerm, long lastIndex) {
        if (!isCaughtUp && !(isInitialVoter && log.lastIndex() == 0 && lastIndex == 0)) {
            return false;
        }
        return lastTerm > log.lastTerm() || lastTerm == log.lastTerm() && lastIndex >= log.lastIndex();
    }

    MemberId self() {
        return self;
    }

    LogSettings settings() {
        return settings;
    }

    Random random() {
        return random;
    }

    EntryLog log() {
        return log;
    }

    Durability durability() {
        return durability;
    }

    /** Returns the time at which the current batch is handled. */
    long nowNanos() {
        return nowNanos;
    }

    /** Returns the number of the current batch. */
    long round() {
        return round;
    }

    long term() {
        return term;
    }

    /** Returns the member that got this member's vote in the current term. */
    Optional<MemberId> votedFor() {
        return votedFor;
    }

    Role role() {
        return role;
    }

    Optional<MemberId> leader() {
        return leader;
    }

    /** Returns when this member campaigns. */
    Deadline electionDeadline() {
        return electionDeadline;
    }

    /** Returns the highest index known to be committed. */
    long commitIndex() {
        return commitIndex;
    }

    /** Returns the last index emitted for the state machine. */
    long appliedIndex() {
        return appliedIndex;
    }
}
