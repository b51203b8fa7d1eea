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
 * The state of a leader during one term. The lease is counted from the sending time of the latest messages that a
 * majority has answered, and ends before any of those voters would take part in another election. Not thread safe; used
 * by the core thread.
 */
final class Leadership {

    private final ReplicaState state;

    private final LeaderReads reads;

    /** The replication progress of the other members. */
    private final Map<MemberId, Progress> progressByMember = new LinkedHashMap<>();

    /** The index of the first entry of the term. */
    private final long termStartIndex;

    /** A time so early that a lease starting then has expired; stands for members that have not answered. */
    private final long expiredLeaseStartNanos;

    private final long electedAtNanos;

    private Deadline heartbeatDeadline;

    /** The member that takes over, while a leadership transfer is in progress. */
    private Optional<MemberId> transferTarget = Optional.empty();

    /** The time at which a leadership transfer is cancelled. */
    private Deadline transferDeadline;

    /** Whether each member must be sent a message in this batch. */
    private boolean isBroadcastDue = true;

    /**
     * Starts leadership by appending an entry of the new term, since entries of earlier terms can be committed only
     * along with one of the current term.
     */
    Leadership(ReplicaState state, LocalReads localReads) {
        this.state = state;
        this.reads = new LeaderReads(state, localReads);
        this.electedAtNanos = state.nowNanos();
        this.expiredLeaseStartNanos =
                electedAtNanos - state.settings().electionTimeoutMaximum().toNanos();
        this.termStartIndex = state.log().lastIndex() + 1;
        this.heartbeatDeadline = new Deadline(electedAtNanos);
        this.transferDeadline = heartbeatDeadline;
        state.changeRole(Role.LEADER, Optional.of(state.self()));
        state.markCaughtUp();
        append(Entry.newBuilder().setKind(Entry.Kind.NO_OPERATION), 0);
        updateProgress();
    }

    /**
     * Appends an entry at the end of the log.
     *
     * @param entry the entry without its position
     * @param stateMillis the wall clock in milliseconds since 1970; raised to that of the last entry if lower
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

    /** Tracks the progress of each other member in force, and drops that of removed ones. */
    private void updateProgress() {
        List<MemberId> members = state.log().members().all();
        progressByMember.keySet().retainAll(members);
        for (MemberId member : members) {
            if (!member.equals(state.self())) {
                progressByMember.computeIfAbsent(
                        member, added -> new Progress(state.log().lastIndex(), expiredLeaseStartNanos));
            }
        }
    }

    /** Appends a command, unless a leadership transfer is in progress. */
    void propose(Input.Propose propose) {
        if (transferTarget.isPresent()) {
            state.emit(new Effect.ProposalRefused(propose.id(), Optional.empty()));
            return;
        }
        ByteString command = propose.command();
        long index = append(Entry.newBuilder().setKind(Entry.Kind.COMMAND).setCommand(command), propose.stateMillis());
        state.emit(new Effect.Appended(propose.id(), index, state.term()));
    }

    /** Appends a membership change if it is safe now, and refuses it otherwise. */
    void changeMembers(Input.ChangeMembers input) {
        Optional<MemberChange.Refusal> refusal =
                transferTarget.isPresent() ? Optional.of(MemberChange.Refusal.NOT_LEADER) : refusal(input.change());
        if (refusal.isPresent()) {
            state.emit(new Effect.ChangeRefused(input.id(), refusal.get()));
            return;
        }
        Members changed = MembershipRules.apply(state.log().members(), input.change());
        Entry.Builder entry = Entry.newBuilder().setKind(Entry.Kind.MEMBERS).setMembers(changed.encode());
        long index = append(entry, input.stateMillis());
        updateProgress();
        state.emit(new Effect.Appended(input.id(), index, state.term()));
    }

    /**
     * Returns why a change must not be made now. Only one change may be uncommitted at a time, and only after an entry
     * of the current term is committed; otherwise two majorities without a common voter could form.
     *
     * @return the reason, or empty if the change is safe
     */
    private Optional<MemberChange.Refusal> refusal(MemberChange change) {
        EntryLog log = state.log();
        boolean isChangePending = !log.members().equals(log.membersAt(state.commitIndex()));
        if (isChangePending || state.commitIndex() < termStartIndex) {
            return Optional.of(MemberChange.Refusal.CHANGE_IN_PROGRESS);
        }
        Optional<MemberChange.Refusal> refusal =
                MembershipRules.refusal(log.members(), change, isUpToDate(change.member()));
        return refusal.isPresent() ? refusal : refusalIfMajoritySilent(MembershipRules.apply(log.members(), change));
    }

    /**
     * Refuses a change after which the responsive voters would be no majority, since it could stop the group.
     *
     * @param changed the members after the change
     */
    private Optional<MemberChange.Refusal> refusalIfMajoritySilent(Members changed) {
        Set<MemberId> responsive =
                changed.voters().stream().filter(this::isResponsive).collect(Collectors.toSet());
        return changed.isMajority(responsive) ? Optional.empty() : Optional.of(MemberChange.Refusal.MAJORITY_SILENT);
    }

    /** Returns this member and those that answered within the lease duration. */
    Set<MemberId> responsiveMembers() {
        return state.log().members().all().stream().filter(this::isResponsive).collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the other members that answered within the lease duration and hold all committed entries. */
    Set<MemberId> upToDateMembers() {
        return progressByMember.keySet().stream().filter(this::isUpToDate).collect(Collectors.toUnmodifiableSet());
    }

    private boolean isUpToDate(MemberId member) {
        Progress progress = progressByMember.get(member);
        return progress != null
                && progress.isCaughtUp()
                && progress.mode() == Progress.Mode.REPLICATE
                && progress.matchIndex() >= state.commitIndex()
                && isResponsive(member);
    }

    private boolean isResponsive(MemberId member) {
        if (member.equals(state.self())) {
            return true;
        }
        Progress progress = progressByMember.get(member);
        return progress != null
                && !leaseStartingAt(progress.answeredSentAtNanos()).hasPassed(state.nowNanos());
    }

    void onReadRequest(LogMessage message) {
        reads.add(MemberId.decode(message.getSender()), message.getReadRequest().getSequence());
    }

    void onAppendResponse(LogMessage message) {
        Progress progress = recordAnswer(message);
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

    /** Updates a member's position in the snapshot and sends the next chunk. */
    void onSnapshotResponse(LogMessage message) {
        Progress progress = recordAnswer(message);
        SnapshotResponse response = message.getSnapshotResponse();
        if (progress != null && progress.onSnapshotOffset(response.getChecksum(), response.getNextOffset())) {
            sendChunk(MemberId.decode(message.getSender()), progress);
        }
    }

    /**
     * Records that a member answered.
     *
     * @return the member's progress, or {@code null} if it has been removed from the group
     */
    private Progress recordAnswer(LogMessage message) {
        Progress progress = progressByMember.get(MemberId.decode(message.getSender()));
        if (progress != null) {
            progress.recordAnswer(message.getRound(), message.getSentAtNanos());
        }
        return progress;
    }

    /** Starts a leadership transfer to the voter with the highest match index. Proposals are refused meanwhile. */
    void startTransfer() {
        transferDeadline = Deadline.after(state.nowNanos(), state.settings().electionTimeoutMinimum());
        transferTarget = state.log().members().voters().stream()
                .filter(progressByMember::containsKey)
                .max((first, second) -> Long.compare(
                        progressByMember.get(first).matchIndex(),
                        progressByMember.get(second).matchIndex()));
    }

    /**
     * Asks the target of a leadership transfer to campaign once it holds the whole log, or cancels the transfer at its
     * deadline. After that request this member must no longer act as leader.
     *
     * @return {@code true} if leadership has ended
     */
    private boolean completeTransfer() {
        if (transferTarget.isEmpty()) {
            return false;
        }
        if (transferDeadline.hasPassed(state.nowNanos())) {
            transferTarget = Optional.empty();
            return false;
        }
        Progress progress = progressByMember.get(transferTarget.get());
        if (progress == null || progress.matchIndex() < state.log().lastIndex()) {
            return false;
        }
        state.send(transferTarget.get(), LogMessage.newBuilder().setCampaignNow(CampaignNow.getDefaultInstance()));
        return true;
    }

    /**
     * Advances a leadership transfer, starts one if the member has left the group, and returns whether leadership must
     * end: its lease has expired, or it was transferred. A new leader has one lease duration to get the first answers.
     * Times are compared by difference, since the clock may have any origin.
     */
    boolean advanceTransferAndCheckEnd() {
        long start = Math.max(0, majorityAnsweredSentAtNanos() - electedAtNanos) + electedAtNanos;
        if (leaseStartingAt(start).hasPassed(state.nowNanos())) {
            return true;
        }
        boolean hasLeftGroup = !state.isVoter()
                && state.log().membersAt(state.commitIndex()).equals(state.log().members());
        if (hasLeftGroup && transferTarget.isEmpty()) {
            startTransfer();
        }
        return completeTransfer();
    }

    /**
     * Returns when the lease ends. No lease is reported before the first entry of the term has been applied, since the
     * local state may be stale until then, nor during a leadership transfer.
     *
     * @return the deadline; it has passed if no lease is held
     */
    Deadline leaseDeadline() {
        boolean mayServe = state.appliedIndex() >= termStartIndex && transferTarget.isEmpty();
        return leaseStartingAt(mayServe ? majorityAnsweredSentAtNanos() : expiredLeaseStartNanos);
    }

    /** Returns whether a majority of the voters is still bound to this leader. */
    boolean isLeaseHeld() {
        return !leaseStartingAt(majorityAnsweredSentAtNanos()).hasPassed(state.nowNanos());
    }

    private Deadline leaseStartingAt(long startNanos) {
        return Deadline.after(startNanos, state.settings().leaseDuration());
    }

    /**
     * Returns the sending time of the latest messages that a majority has answered. The voters' times are compared as
     * differences to the current time, since the clock may have any origin.
     */
    private long majorityAnsweredSentAtNanos() {
        long age = -state.log()
                .members()
                .reachedByMajority(voter -> voter.equals(state.self())
                        ? 0
                        : progressByMember.get(voter).answeredSentAtNanos() - state.nowNanos());
        return state.nowNanos() - age;
    }

    /**
     * Commits the entries that a majority stores, confirms reads, and sends the messages that are due in this batch.
     */
    void finishBatch() {
        advanceCommit();
        reads.addLocalReads();
        if (state.commitIndex() >= termStartIndex) {
            reads.confirm(majorityAnsweredRound());
        }
        boolean isHeartbeatDue = heartbeatDeadline.hasPassed(state.nowNanos());
        if (isHeartbeatDue) {
            heartbeatDeadline =
                    Deadline.after(state.nowNanos(), state.settings().heartbeatInterval());
        }
        boolean isRoundDue = isHeartbeatDue || isBroadcastDue || reads.beginRoundIfDue();
        isBroadcastDue = false;
        progressByMember.forEach((member, progress) -> {
            if (isHeartbeatDue) {
                progress.allowProbe();
            }
            replicate(member, progress);
            if (isRoundDue && !progress.hasMessageInRound(state.round())) {
                sendHeartbeat(member, progress);
            }
        });
    }

    /** Returns the latest round that a majority has answered. */
    private long majorityAnsweredRound() {
        return state.log()
                .members()
                .reachedByMajority(voter -> voter.equals(state.self())
                        ? state.round()
                        : progressByMember.get(voter).answeredRound());
    }

    /** Commits the entries of this term that a majority stores durably, and with them all earlier ones. */
    private void advanceCommit() {
        long reached = state.log()
                .members()
                .reachedByMajority(voter -> voter.equals(state.self())
                        ? state.durability().durableIndex()
                        : progressByMember.get(voter).matchIndex());
        if (reached >= termStartIndex && state.advanceCommitIndex(reached)) {
            isBroadcastDue = true;
        }
    }

    /** Sends the entries that a member lacks, or a snapshot if they have been compacted. */
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

    /** Sends a message that keeps a member from campaigning: the current chunk of a snapshot, or no entries. */
    private void sendHeartbeat(MemberId member, Progress progress) {
        if (progress.mode() == Progress.Mode.SNAPSHOT) {
            sendChunk(member, progress);
        } else {
            sendEntries(member, progress, List.of());
        }
    }

    /**
     * Sends entries along with the position before them, at which the logs must agree.
     *
     * @param entries the entries from the member's next index on; empty for a heartbeat
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

    private void sendChunk(MemberId member, Progress progress) {
        LogMessage.Builder message = LogMessage.newBuilder()
                .setSnapshotChunk(progress.nextChunk(state.settings().snapshotChunkBytes()));
        sendStamped(member, progress, message);
    }

    /** Sends a message stamped with the round and the current time, which the member echoes in its response. */
    private void sendStamped(MemberId member, Progress progress, LogMessage.Builder message) {
        progress.recordSentRound(state.round());
        state.send(member, message.setRound(state.round()).setSentAtNanos(state.nowNanos()));
    }

    /** Returns when the next heartbeat is due. */
    Deadline heartbeatDeadline() {
        return heartbeatDeadline;
    }
}
