package org.borageproxy.log.consensus;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import org.borageproxy.time.Deadline;
import org.borageproxy.wire.proto.LogProtocol.AppendRequest;
import org.borageproxy.wire.proto.LogProtocol.AppendResponse;
import org.borageproxy.wire.proto.LogProtocol.CampaignNow;
import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.SnapshotResponse;

/**
 * The leader's part of a member during one term. The lease counts from the sending of the latest messages that a
 * majority answered, and ends before any of those voters would elect another leader. Not thread safe; used by the
 * thread of the core.
 */
final class Leadership {

    /** The member's state. */
    private final ReplicaState state;

    /** The reads that wait for a majority. */
    private final LeaderReads reads;

    /** What is known of the other members. */
    private final Map<MemberId, Progress> progresses = new LinkedHashMap<>();

    /** The index of the first entry of the term. */
    private final long firstIndex;

    /** A time so early that no lease follows from it. */
    private final long unansweredNanos;

    /** When the term's leadership began. */
    private final long electedAtNanos;

    /** When the next heartbeat is due. */
    private Deadline heartbeatDeadline;

    /** The member that takes over, if leadership is being handed over. */
    private Optional<MemberId> successor = Optional.empty();

    /** When an attempt to hand leadership over is given up. */
    private Deadline transferDeadline;

    /** Whether every member should get a message in this batch. */
    private boolean contactDue = true;

    /**
     * Begins leadership with an entry of the new term.
     *
     * @param state the member's state
     * @param ownReads the reads of this member
     */
    Leadership(ReplicaState state, Reads ownReads) {
        this.state = state;
        this.reads = new LeaderReads(state, ownReads);
        this.electedAtNanos = state.nowNanos();
        this.unansweredNanos =
                electedAtNanos - state.settings().electionTimeoutMaximum().toNanos();
        this.firstIndex = state.log().lastIndex() + 1;
        this.heartbeatDeadline = new Deadline(electedAtNanos);
        this.transferDeadline = heartbeatDeadline;
        state.changeRole(Role.LEADER, Optional.of(state.self()));
        state.markCaughtUp();
        append(Entry.newBuilder().setKind(Entry.Kind.NO_OPERATION), 0);
        refreshMembers();
    }

    /**
     * Appends an entry at the end of the log.
     *
     * @param entry the entry without its position
     * @param stateMillis the wall clock in milliseconds since 1970
     * @return the index of the entry
     */
    private long append(Entry.Builder entry, long stateMillis) {
        EntryLog log = state.log();
        long index = log.lastIndex() + 1;
        state.append(entry.setIndex(index)
                .setTerm(state.term())
                .setStateMillis(Math.max(stateMillis, log.lastStateMillis()))
                .build());
        return index;
    }

    /** Keeps one progress for each other member. */
    private void refreshMembers() {
        List<MemberId> members = state.log().members().all();
        progresses.keySet().retainAll(members);
        for (MemberId member : members) {
            if (!member.equals(state.self())) {
                progresses.computeIfAbsent(
                        member, added -> new Progress(state.log().lastIndex(), unansweredNanos));
            }
        }
    }

    /**
     * Takes a command.
     *
     * @param propose the proposal
     */
    void propose(Input.Propose propose) {
        if (successor.isPresent()) {
            state.emit(new Effect.ProposalRefused(propose.id(), Optional.empty()));
            return;
        }
        ByteString command = propose.command();
        long index = append(Entry.newBuilder().setKind(Entry.Kind.COMMAND).setCommand(command), propose.stateMillis());
        state.emit(new Effect.Appended(propose.id(), index, state.term()));
    }

    /**
     * Makes a change of members, if it is safe now.
     *
     * @param input the change
     */
    void changeMembers(Input.ChangeMembers input) {
        Optional<MemberChange.Refusal> refusal =
                successor.isPresent() ? Optional.of(MemberChange.Refusal.NOT_LEADER) : refusal(input.change());
        if (refusal.isPresent()) {
            state.emit(new Effect.ChangeRefused(input.id(), refusal.get()));
            return;
        }
        Members changed = MembershipRules.apply(state.log().members(), input.change());
        Entry.Builder entry = Entry.newBuilder().setKind(Entry.Kind.MEMBERS).setMembers(changed.encode());
        long index = append(entry, input.stateMillis());
        refreshMembers();
        state.emit(new Effect.Appended(input.id(), index, state.term()));
    }

    /**
     * Tells why a change cannot be made now.
     *
     * @param change the change
     * @return the reason, or empty if the change is safe
     */
    private Optional<MemberChange.Refusal> refusal(MemberChange change) {
        EntryLog log = state.log();
        boolean pending = !log.members().equals(log.membersAt(state.commitIndex()));
        if (pending || state.commitIndex() < firstIndex) {
            return Optional.of(MemberChange.Refusal.CHANGE_IN_PROGRESS);
        }
        Progress progress = progresses.get(change.member());
        boolean current = progress != null
                && progress.isCaughtUp()
                && progress.mode() == Progress.Mode.REPLICATE
                && progress.matchIndex() >= state.commitIndex()
                && answersNow(change.member());
        Optional<MemberChange.Refusal> refusal = MembershipRules.refusal(log.members(), change, current);
        return refusal.isPresent() ? refusal : silentMajority(MembershipRules.apply(log.members(), change));
    }

    /**
     * Refuses members of whom too few answer.
     *
     * @param changed the members after a change
     * @return the reason, or empty if a majority answers
     */
    private Optional<MemberChange.Refusal> silentMajority(Members changed) {
        Set<MemberId> answering =
                changed.voters().stream().filter(this::answersNow).collect(Collectors.toSet());
        return changed.isMajority(answering) ? Optional.empty() : Optional.of(MemberChange.Refusal.MAJORITY_SILENT);
    }

    /**
     * Returns the members that answered within the lease, with this one.
     *
     * @return the members
     */
    Set<MemberId> responsiveMembers() {
        return state.log().members().all().stream().filter(this::answersNow).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Tells whether a member answered lately.
     *
     * @param member the member
     * @return {@code true} for this member and those that answered within a lease
     */
    private boolean answersNow(MemberId member) {
        if (member.equals(state.self())) {
            return true;
        }
        Progress progress = progresses.get(member);
        return progress != null && !leaseFrom(progress.answeredSentAtNanos()).hasPassed(state.nowNanos());
    }

    /**
     * Takes a read.
     *
     * @param message the request of another member
     */
    void onReadRequest(LogMessage message) {
        reads.add(MemberId.decode(message.getSender()), message.getReadRequest().getSequence());
    }

    /**
     * Takes the answer to entries.
     *
     * @param message the answer
     */
    void onAppendResponse(LogMessage message) {
        Progress progress = answered(message);
        if (progress == null) {
            return;
        }
        AppendResponse response = message.getAppendResponse();
        if (response.getSuccess()) {
            progress.onAccepted(response.getMatch(), response.getCaughtUp());
        } else {
            progress.onRejected(response.getNextHint());
        }
    }

    /**
     * Takes the answer to a chunk of a snapshot.
     *
     * @param message the answer
     */
    void onSnapshotResponse(LogMessage message) {
        Progress progress = answered(message);
        SnapshotResponse response = message.getSnapshotResponse();
        if (progress != null && progress.onSnapshotOffset(response.getChecksum(), response.getNextOffset())) {
            sendChunk(MemberId.decode(message.getSender()), progress);
        }
    }

    /**
     * Notes that a member answered.
     *
     * @param message the answer
     * @return the member's progress, or {@code null} if it is no member any more
     */
    private Progress answered(LogMessage message) {
        Progress progress = progresses.get(MemberId.decode(message.getSender()));
        if (progress != null) {
            progress.recordAnswer(message.getRound(), message.getSentAtNanos());
        }
        return progress;
    }

    /** Begins to hand leadership to the voter that is furthest. */
    void startTransfer() {
        transferDeadline = Deadline.after(state.nowNanos(), state.settings().electionTimeoutMinimum());
        successor = state.log().members().voters().stream()
                .filter(progresses::containsKey)
                .max((left, right) -> Long.compare(
                        progresses.get(left).matchIndex(), progresses.get(right).matchIndex()));
    }

    /**
     * Hands leadership over once the successor has everything; from the hand-over on, this member acts as leader no
     * more.
     *
     * @return {@code true} if leadership ended
     */
    private boolean handOver() {
        if (successor.isEmpty()) {
            return false;
        }
        if (transferDeadline.hasPassed(state.nowNanos())) {
            successor = Optional.empty();
            return false;
        }
        Progress progress = progresses.get(successor.get());
        if (progress == null || progress.matchIndex() < state.log().lastIndex()) {
            return false;
        }
        state.send(successor.get(), LogMessage.newBuilder().setCampaignNow(CampaignNow.getDefaultInstance()));
        return true;
    }

    /**
     * Tells whether leadership must end: its lease is over, it was handed over, or the member left the group.
     *
     * @return {@code true} if this member must not act as leader any more
     */
    boolean isOver() {
        long start = Math.max(0, answeredByMajorityNanos() - electedAtNanos) + electedAtNanos;
        if (leaseFrom(start).hasPassed(state.nowNanos())) {
            return true;
        }
        boolean left = !state.isVoter()
                && state.log().membersAt(state.commitIndex()).equals(state.log().members());
        if (left && successor.isEmpty()) {
            startTransfer();
        }
        return handOver();
    }

    /**
     * Returns when the lease ends.
     *
     * @return the deadline; it has passed if no lease is held
     */
    Deadline leaseDeadline() {
        boolean serves = state.appliedIndex() >= firstIndex && successor.isEmpty();
        return leaseFrom(serves ? answeredByMajorityNanos() : unansweredNanos);
    }

    /**
     * Tells whether a majority still waits for this leader.
     *
     * @return {@code true} while the lease is held
     */
    boolean isLeaseHeld() {
        return !leaseFrom(answeredByMajorityNanos()).hasPassed(state.nowNanos());
    }

    /**
     * Returns when a lease ends.
     *
     * @param startNanos when it began
     * @return the deadline
     */
    private Deadline leaseFrom(long startNanos) {
        return Deadline.after(startNanos, state.settings().leaseDuration());
    }

    /**
     * Returns the sending time of the latest messages that a majority answered.
     *
     * @return nanoseconds
     */
    private long answeredByMajorityNanos() {
        long age = -state.log()
                .members()
                .reachedByMajority(voter -> voter.equals(state.self())
                        ? 0
                        : progresses.get(voter).answeredSentAtNanos() - state.nowNanos());
        return state.nowNanos() - age;
    }

    /** Commits what a majority has, confirms reads, and sends what is due in this batch. */
    void finishBatch() {
        advanceCommit();
        reads.addLocalReads();
        if (state.commitIndex() >= firstIndex) {
            reads.confirm(answeredRound());
        }
        boolean heartbeat = heartbeatDeadline.hasPassed(state.nowNanos());
        if (heartbeat) {
            heartbeatDeadline =
                    Deadline.after(state.nowNanos(), state.settings().heartbeatInterval());
        }
        boolean everyone = heartbeat || contactDue || reads.beginRoundIfDue();
        contactDue = false;
        progresses.forEach((member, progress) -> {
            if (heartbeat) {
                progress.allowProbe();
            }
            replicate(member, progress);
            if (everyone && !progress.hasMessageInRound(state.round())) {
                contact(member, progress);
            }
        });
    }

    /**
     * Returns the latest round that a majority answered.
     *
     * @return the round
     */
    private long answeredRound() {
        return state.log()
                .members()
                .reachedByMajority(voter -> voter.equals(state.self())
                        ? state.round()
                        : progresses.get(voter).answeredRound());
    }

    /** Commits the entries of this term that a majority has on disk, and with them all earlier ones. */
    private void advanceCommit() {
        long reached = state.log()
                .members()
                .reachedByMajority(voter -> voter.equals(state.self())
                        ? state.durability().durableIndex()
                        : progresses.get(voter).matchIndex());
        if (reached >= firstIndex && state.advanceCommitIndex(reached)) {
            contactDue = true;
        }
    }

    /**
     * Sends the entries that a member lacks.
     *
     * @param member the member
     * @param progress what is known of it
     */
    private void replicate(MemberId member, Progress progress) {
        LogSettings settings = state.settings();
        if (progress.mode() != Progress.Mode.SNAPSHOT
                && progress.nextIndex() <= state.log().baseIndex()) {
            progress.startSnapshot(state.log().snapshot());
            sendChunk(member, progress);
        }
        while (progress.mode() != Progress.Mode.SNAPSHOT
                && !progress.isProbePending()
                && progress.nextIndex() <= state.log().lastIndex()
                && progress.nextIndex() - progress.matchIndex() <= settings.maximumInFlightEntries()) {
            List<Entry> entries = state.log()
                    .slice(progress.nextIndex(), settings.maximumMessageEntries(), settings.maximumMessageBytes());
            sendEntries(member, progress, entries);
            progress.recordSentEntries(entries.size());
        }
    }

    /**
     * Sends a message that keeps the member from campaigning.
     *
     * @param member the member
     * @param progress what is known of it
     */
    private void contact(MemberId member, Progress progress) {
        if (progress.mode() == Progress.Mode.SNAPSHOT) {
            sendChunk(member, progress);
        } else {
            sendEntries(member, progress, List.of());
        }
    }

    /**
     * Sends entries.
     *
     * @param member the member
     * @param progress what is known of it
     * @param entries the entries from the member's next index on
     */
    private void sendEntries(MemberId member, Progress progress, List<Entry> entries) {
        AppendRequest request = AppendRequest.newBuilder()
                .setPrevious(state.log().positionAt(progress.nextIndex() - 1))
                .addAllEntries(entries)
                .setCommit(state.commitIndex())
                .setLeaderLast(state.log().lastIndex())
                .build();
        sendStamped(member, progress, LogMessage.newBuilder().setAppendRequest(request));
    }

    /**
     * Sends a chunk of a snapshot.
     *
     * @param member the member
     * @param progress what is known of it
     */
    private void sendChunk(MemberId member, Progress progress) {
        LogMessage.Builder message = LogMessage.newBuilder()
                .setSnapshotChunk(progress.nextChunk(state.settings().snapshotChunkBytes()));
        sendStamped(member, progress, message);
    }

    /**
     * Sends a message with the round and the reading of the clock.
     *
     * @param member the member
     * @param progress what is known of it
     * @param message the message's body
     */
    private void sendStamped(MemberId member, Progress progress, LogMessage.Builder message) {
        progress.recordSentRound(state.round());
        state.send(member, message.setRound(state.round()).setSentAtNanos(state.nowNanos()));
    }

    /**
     * Returns when the next heartbeat is due.
     *
     * @return the deadline
     */
    Deadline heartbeatDeadline() {
        return heartbeatDeadline;
    }
}
