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
 * What a member holds in every role: term, vote, log, commit index, and the effects of the inputs handled now. The term
 * and the commit index never decrease. Not thread safe; used by the thread of the core.
 */
final class ReplicaState {

    /** The identity of the group. */
    private final String group;

    /** This member. */
    private final MemberId self;

    /** Whether the member was an initial voter when its folder was made. */
    private final boolean initialVoter;

    /** The bounds. */
    private final LogSettings settings;

    /** Draws election timeouts. */
    private final Random random;

    /** The entries. */
    private final EntryLog log;

    /** The writes. */
    private final Durability durability;

    /** The effects of the inputs handled now. */
    private final List<Effect> effects = new ArrayList<>();

    /** The reading of the clock for the inputs handled now. */
    private long nowNanos;

    /** Counts the batches of inputs. */
    private long round;

    /** The current term. */
    private long term;

    /** The member that got this member's vote in the term. */
    private Optional<MemberId> votedFor;

    /** Whether the member once held all that a leader had, so that its vote counts. */
    private boolean caughtUp;

    /** The role. */
    private Role role = Role.FOLLOWER;

    /** The leader of the term, if known. */
    private Optional<MemberId> leader = Optional.empty();

    /** When the last message of a leader came, or the member started. */
    private long leaderHeardAtNanos;

    /** When the member campaigns. */
    private Deadline electionDeadline;

    /** The last index known to be committed. */
    private long commitIndex;

    /** The last index handed to the state machine. */
    private long appliedIndex;

    /**
     * Creates the state of a member that starts.
     *
     * @param restored what the member knows
     * @param settings the bounds
     * @param random draws election timeouts
     * @param nowNanos the reading of the clock
     */
    ReplicaState(RestoredState restored, LogSettings settings, Random random, long nowNanos) {
        this.group = restored.group();
        this.self = restored.self();
        this.initialVoter = restored.initialMembers().voters().contains(self);
        this.settings = settings;
        this.random = random;
        this.nowNanos = nowNanos;
        this.log = new EntryLog(restored);
        this.durability = new Durability(log.lastIndex());
        HardState hardState = restored.hardState();
        this.term = Math.max(hardState.getTerm(), log.lastTerm());
        boolean voted = hardState.hasVotedFor() && term == hardState.getTerm();
        this.votedFor = voted ? Optional.of(MemberId.decode(hardState.getVotedFor())) : Optional.empty();
        this.caughtUp = hardState.getCaughtUp();
        this.commitIndex = log.snapshot().getIndex();
        this.appliedIndex = commitIndex;
        this.leaderHeardAtNanos = nowNanos;
        if (commitIndex > 0) {
            effects.add(new Effect.Restore(log.snapshot()));
        }
        resetElectionTimer();
    }

    /**
     * Starts a batch of inputs.
     *
     * @param readingNanos the reading of the clock
     */
    void beginBatch(long readingNanos) {
        nowNanos = readingNanos;
        round++;
    }

    /**
     * Ends a batch of inputs.
     *
     * @return the effects of the batch
     */
    List<Effect> drainEffects() {
        List<Effect> taken = List.copyOf(effects);
        effects.clear();
        return taken;
    }

    /**
     * Adds an effect.
     *
     * @param effect the effect
     */
    void emit(Effect effect) {
        effects.add(effect);
    }

    /** Hands out the writes that this batch needs. */
    void emitWrites() {
        durability.issueWrite(log.lastIndex()).ifPresent(effects::add);
    }

    /** Hands the newly committed entries to the state machine. */
    void emitApplies() {
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            effects.add(new Effect.Apply(log.entry(appliedIndex)));
        }
    }

    /**
     * Sends a message that needs the current term and vote on the disk.
     *
     * @param recipient the member that gets the message
     * @param message the message's body
     */
    void sendAfterHardState(MemberId recipient, LogMessage.Builder message) {
        emit(new Effect.Send(recipient, address(recipient, message), durability.hardStateWriteNumber()));
    }

    /**
     * Sends a message at once.
     *
     * @param recipient the member that gets the message
     * @param message the message's body
     */
    void send(MemberId recipient, LogMessage.Builder message) {
        emit(new Effect.Send(recipient, address(recipient, message), 0));
    }

    /**
     * Completes a message's envelope.
     *
     * @param recipient the member that gets the message
     * @param message the message's body
     * @return the message
     */
    private LogMessage address(MemberId recipient, LogMessage.Builder message) {
        return message.setGroup(group)
                .setSender(self.encode())
                .setRecipient(recipient.encode())
                .setTerm(term)
                .build();
    }

    /**
     * Tells whether a message is for this member.
     *
     * @param message the message
     * @return {@code false} for another group's message or one to an earlier member on this VM
     */
    boolean isAddressedToSelf(LogMessage message) {
        return message.getGroup().equals(group)
                && MemberId.decode(message.getRecipient()).equals(self);
    }

    /** Draws a new time to campaign. */
    void resetElectionTimer() {
        long minimum = settings.electionTimeoutMinimum().toNanos();
        long spread = settings.electionTimeoutMaximum().toNanos() - minimum;
        electionDeadline = new Deadline(nowNanos + minimum + (long) (random.nextDouble() * spread));
    }

    /** Notes a message of the current leader. */
    void recordLeaderContact() {
        leaderHeardAtNanos = nowNanos;
        resetElectionTimer();
    }

    /**
     * Tells whether a leader may still hold its lease on this member's word.
     *
     * @return {@code true} within the shortest election timeout after the last message of a leader
     */
    boolean mayLeaderHoldLease() {
        return nowNanos - leaderHeardAtNanos < settings.electionTimeoutMinimum().toNanos();
    }

    /**
     * Becomes a follower, in a later term or the current one.
     *
     * @param newTerm the term
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
     * @param newVote the vote in it
     */
    void enterTerm(long newTerm, Optional<MemberId> newVote) {
        term = newTerm;
        votedFor = newVote;
        saveHardState();
    }

    /**
     * Gives the vote of the current term.
     *
     * @param candidate the member that gets it
     */
    void grantVote(MemberId candidate) {
        if (votedFor.isEmpty()) {
            votedFor = Optional.of(candidate);
            saveHardState();
        }
    }

    /** Notes that the member holds all that a leader had. */
    void markCaughtUp() {
        if (!caughtUp) {
            caughtUp = true;
            saveHardState();
        }
    }

    /** Writes term, vote and whether the member caught up. */
    private void saveHardState() {
        HardState.Builder state = HardState.newBuilder().setTerm(term).setCaughtUp(caughtUp);
        votedFor.ifPresent(candidate -> state.setVotedFor(candidate.encode()));
        durability.save(state.build());
    }

    /**
     * Changes role and leader.
     *
     * @param newRole the role
     * @param newLeader the leader, if known
     */
    void changeRole(Role newRole, Optional<MemberId> newLeader) {
        boolean same = role == newRole && leader.equals(newLeader);
        if (role == Role.LEADER && newRole == Role.FOLLOWER) {
            resetElectionTimer();
        }
        role = newRole;
        leader = newLeader;
        if (!same) {
            effects.add(new Effect.RoleChanged(newRole, term, newLeader));
        }
    }

    /**
     * Appends an entry and writes it with the batch.
     *
     * @param entry the entry
     */
    void append(Entry entry) {
        log.append(entry);
        durability.append(entry);
    }

    /**
     * Discards entries that another leader's replace.
     *
     * @param index the first index to discard
     */
    void truncateFrom(long index) {
        if (index <= commitIndex) {
            throw new IllegalStateException("Committed entry would be overwritten: " + index);
        }
        log.truncateFrom(index);
        durability.truncateFrom(index);
    }

    /**
     * Replaces log and state by a leader's snapshot.
     *
     * @param snapshot the snapshot
     */
    void installSnapshot(Snapshot snapshot) {
        log.replaceWith(snapshot);
        durability.reset(snapshot);
        commitIndex = snapshot.getIndex();
        appliedIndex = commitIndex;
        effects.add(new Effect.Restore(snapshot));
    }

    /**
     * Raises the commit index; a lower one is ignored.
     *
     * @param index the last index known to be committed
     * @return {@code true} if it rose
     */
    boolean advanceCommitIndex(long index) {
        if (index <= commitIndex) {
            return false;
        }
        commitIndex = index;
        return true;
    }

    /**
     * Tells whether this member may campaign and vote in general.
     *
     * @return {@code true} for a voter
     */
    boolean isVoter() {
        return log.members().voters().contains(self);
    }

    /**
     * Tells whether the member once held all that a leader had.
     *
     * @return {@code true} if its vote counts
     */
    boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * Tells whether a candidate's log holds all that this member may have acknowledged. A member that never caught up
     * trusts its empty log only among initial voters without entries, since its data may have been lost.
     *
     * @param lastTerm the term of the candidate's last entry
     * @param lastIndex the index of the candidate's last entry
     * @return {@code true} if a vote for the candidate is safe
     */
    boolean mayVoteFor(long lastTerm, long lastIndex) {
        if (!caughtUp && !(initialVoter && log.lastIndex() == 0 && lastIndex == 0)) {
            return false;
        }
        return lastTerm > log.lastTerm() || lastTerm == log.lastTerm() && lastIndex >= log.lastIndex();
    }

    /**
     * Returns this member.
     *
     * @return the identity
     */
    MemberId self() {
        return self;
    }

    /**
     * Returns the bounds.
     *
     * @return the settings
     */
    LogSettings settings() {
        return settings;
    }

    /**
     * Returns the source of chance.
     *
     * @return the generator
     */
    Random random() {
        return random;
    }

    /**
     * Returns the entries.
     *
     * @return the log
     */
    EntryLog log() {
        return log;
    }

    /**
     * Returns the writes.
     *
     * @return the record of what is durable
     */
    Durability durability() {
        return durability;
    }

    /**
     * Returns the reading of the clock for this batch.
     *
     * @return nanoseconds
     */
    long nowNanos() {
        return nowNanos;
    }

    /**
     * Returns the number of this batch.
     *
     * @return the round
     */
    long round() {
        return round;
    }

    /**
     * Returns the current term.
     *
     * @return the term
     */
    long term() {
        return term;
    }

    /**
     * Returns the vote of the current term.
     *
     * @return the member that got it
     */
    Optional<MemberId> votedFor() {
        return votedFor;
    }

    /**
     * Returns the role.
     *
     * @return the role
     */
    Role role() {
        return role;
    }

    /**
     * Returns the leader.
     *
     * @return the leader, if known
     */
    Optional<MemberId> leader() {
        return leader;
    }

    /**
     * Returns when the member campaigns.
     *
     * @return the deadline
     */
    Deadline electionDeadline() {
        return electionDeadline;
    }

    /**
     * Returns the commit index.
     *
     * @return the last index known to be committed
     */
    long commitIndex() {
        return commitIndex;
    }

    /**
     * Returns the applied index.
     *
     * @return the last index handed to the state machine
     */
    long appliedIndex() {
        return appliedIndex;
    }
}
