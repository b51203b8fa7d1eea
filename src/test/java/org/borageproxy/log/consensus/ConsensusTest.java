package org.borageproxy.log.consensus;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import com.google.protobuf.ByteString;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.LogProtocol.AppendRequest;
import org.borageproxy.wire.proto.LogProtocol.Entry;
import org.borageproxy.wire.proto.LogProtocol.HardState;
import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.Position;
import org.borageproxy.wire.proto.LogProtocol.Snapshot;
import org.borageproxy.wire.proto.LogProtocol.VoteRequest;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests single decisions of {@link Consensus}; {@link ConsensusScheduleTest} tests whole groups. */
class ConsensusTest {

    private static final String GROUP = "group";

    private static final MemberId A = MemberId.initial(GROUP, new VmName("a"));

    private static final MemberId B = MemberId.initial(GROUP, new VmName("b"));

    private static final MemberId C = MemberId.initial(GROUP, new VmName("c"));

    private static final Members THREE_VOTERS = Members.ofVoters(List.of(A, B, C));

    private static final LogSettings SETTINGS = LogSettings.STANDARD;

    /** Longer than any election timeout. */
    private static final long SILENCE_NANOS = SETTINGS.electionTimeoutMaximum().toNanos() + 1;

    @Test
    void voteIsSentOnlyAfterItIsDurable() {
        Consensus member = start(RestoredState.fresh(GROUP, A, THREE_VOTERS));
        List<Effect> effects = handle(member, SILENCE_NANOS, new Input.Receive(voteRequest(B, 1, 0, 0, false)));
        Effect.Persist persist = only(effects, Effect.Persist.class);
        Effect.Send answer = only(effects, Effect.Send.class);
        assertTrue(answer.message().getVoteResponse().getGranted());
        assertEquals(persist.writeNumber(), answer.requiredWrite());
        assertEquals(B.encode(), persist.hardState().orElseThrow().getVotedFor());
    }

    @Test
    void restartedMemberGrantsVoteOnlyToSameCandidateInTerm() {
        HardState voted =
                HardState.newBuilder().setTerm(4).setVotedFor(B.encode()).build();
        RestoredState state =
                new RestoredState(GROUP, A, THREE_VOTERS, voted, Snapshot.getDefaultInstance(), List.of());
        Consensus member = start(state);
        assertFalse(granted(handle(member, SILENCE_NANOS, new Input.Receive(voteRequest(C, 4, 0, 0, false)))));
        assertTrue(granted(handle(member, SILENCE_NANOS, new Input.Receive(voteRequest(B, 4, 0, 0, false)))));
    }

    @Test
    void memberThatMayHaveLostDataDeniesVoteToCandidateWithEntries() {
        Consensus member = start(RestoredState.fresh(GROUP, A, THREE_VOTERS));
        assertFalse(granted(handle(member, SILENCE_NANOS, new Input.Receive(voteRequest(B, 5, 4, 9, false)))));
    }

    @Test
    void memberIgnoresVoteRequestsWithinLeaseUnlessLeadershipTransfer() {
        Consensus member = start(RestoredState.fresh(GROUP, A, THREE_VOTERS));
        handle(member, 1, new Input.Receive(append(B, 1, A)));
        long withinLeaseNanos = SETTINGS.leaseDuration().toNanos();
        assertEquals(List.of(), handle(member, withinLeaseNanos, new Input.Receive(voteRequest(C, 9, 9, 9, false))));
        assertEquals(1, member.term());
        handle(member, withinLeaseNanos, new Input.Receive(voteRequest(C, 9, 9, 9, true)));
        assertEquals(9, member.term());
    }

    @Test
    void messageToPreviousMemberOnSameVmIsDropped() {
        MemberId replaced = new MemberId(new VmName("a"), 99);
        Consensus member = start(RestoredState.fresh(GROUP, replaced, Members.EMPTY));
        assertEquals(List.of(), handle(member, 1, new Input.Receive(append(B, 1, A))));
        assertEquals(0, member.term());
    }

    @Test
    void leaderPausedPastLeaseStepsDownBeforeHandlingProposal() {
        Consensus member = lead();
        long resumedNanos = SILENCE_NANOS + SETTINGS.leaseDuration().toNanos();
        List<Effect> effects = handle(member, resumedNanos, new Input.Propose(7, 0, ByteString.EMPTY));
        assertEquals(7, only(effects, Effect.ProposalRefused.class).id());
        assertEquals(Optional.empty(), member.leaseDeadline());
    }

    @Test
    void earlierTermEntriesCommitOnlyWithEntryOfLeadersTerm() {
        Entry earlier = Entry.newBuilder().setIndex(1).setTerm(1).build();
        HardState state = HardState.newBuilder().setTerm(1).setCaughtUp(true).build();
        Consensus member = start(
                new RestoredState(GROUP, A, THREE_VOTERS, state, Snapshot.getDefaultInstance(), List.of(earlier)));
        handle(member, SILENCE_NANOS, Input.Tick.INSTANCE);
        handle(member, SILENCE_NANOS, new Input.Receive(voteResponse(true, 2, 1)));
        handle(member, SILENCE_NANOS, new Input.Synced(1), new Input.Receive(voteResponse(false, 2, 2)));
        handle(member, SILENCE_NANOS, new Input.Synced(2), new Input.Receive(appended(1)));
        assertEquals(0, member.commitIndex());
        handle(member, SILENCE_NANOS, new Input.Receive(appended(2)));
        assertEquals(2, member.commitIndex());
    }

    @Test
    void memberChangeLeavingNoResponsiveMajorityIsRefused() {
        Consensus member = lead(THREE_VOTERS);
        handle(member, SILENCE_NANOS, new Input.Receive(appended(1, 1, 3)));
        List<Effect> refused = handle(member, SILENCE_NANOS, new Input.ChangeMembers(7, 0, new MemberChange.Remove(B)));
        assertEquals(
                MemberChange.Refusal.MAJORITY_SILENT,
                only(refused, Effect.ChangeRefused.class).refusal());
        List<Effect> accepted =
                handle(member, SILENCE_NANOS, new Input.ChangeMembers(8, 0, new MemberChange.Remove(C)));
        assertEquals(8, only(accepted, Effect.Appended.class).id());
    }

    @Test
    void readIsConfirmedOnlyByMajorityContactedAfterIt() {
        Consensus member = lead();
        handle(member, SILENCE_NANOS, new Input.Receive(appended(1, 1, 3)));
        assertEquals(1, member.commitIndex());
        List<Effect> requested = handle(member, SILENCE_NANOS + 1, new Input.ConfirmRead(7));
        long round = only(requested, Effect.Send.class).message().getRound();
        List<Effect> earlier = handle(member, SILENCE_NANOS + 2, new Input.Receive(appended(1, 1, round - 1)));
        assertFalse(earlier.contains(new Effect.ReadConfirmed(7)));
        List<Effect> answered = handle(member, SILENCE_NANOS + 3, new Input.Receive(appended(1, 1, round)));
        assertTrue(answered.contains(new Effect.ReadConfirmed(7)));
    }

    @Test
    void restartedMemberIgnoresVoteRequestsWithinLeaseDuration() {
        HardState state = HardState.newBuilder().setTerm(1).setCaughtUp(true).build();
        Consensus member =
                start(new RestoredState(GROUP, A, THREE_VOTERS, state, Snapshot.getDefaultInstance(), List.of()));
        long withinLeaseNanos = SETTINGS.leaseDuration().toNanos();
        assertEquals(List.of(), handle(member, withinLeaseNanos, new Input.Receive(voteRequest(B, 2, 1, 1, false))));
    }

    private static Consensus lead() {
        return lead(Members.ofVoters(List.of(A, B)));
    }

    /** Returns a member that leads a group in term 1, with the first entry of the term durable on its own disk. */
    private static Consensus lead(Members members) {
        Consensus member = start(RestoredState.fresh(GROUP, A, members));
        handle(member, SILENCE_NANOS, Input.Tick.INSTANCE);
        handle(member, SILENCE_NANOS, new Input.Receive(voteResponse(true, 1, 0)));
        handle(member, SILENCE_NANOS, new Input.Synced(1), new Input.Receive(voteResponse(false, 1, 1)));
        handle(member, SILENCE_NANOS, new Input.Synced(2));
        assertEquals(Role.LEADER, member.role());
        return member;
    }

    private static LogMessage appended(long match) {
        return appended(2, match, 0);
    }

    private static LogMessage appended(long term, long match, long round) {
        LogMessage.Builder message = envelope(B, A, term).setRound(round).setSentAtNanos(SILENCE_NANOS);
        message.getAppendResponseBuilder().setSuccess(true).setMatch(match);
        return message.build();
    }

    private static Consensus start(RestoredState state) {
        return new Consensus(state, SETTINGS, new Random(42), 0);
    }

    private static List<Effect> handle(Consensus member, long nowNanos, Input... inputs) {
        return member.handle(nowNanos, List.of(inputs));
    }

    private static <T extends Effect> T only(List<Effect> effects, Class<T> type) {
        List<T> found =
                effects.stream().filter(type::isInstance).map(type::cast).toList();
        assertEquals(1, found.size(), effects.toString());
        return found.get(0);
    }

    private static boolean granted(List<Effect> effects) {
        return effects.stream()
                .anyMatch(effect -> effect instanceof Effect.Send send
                        && send.message().hasVoteResponse()
                        && send.message().getVoteResponse().getGranted());
    }

    private static LogMessage.Builder envelope(MemberId from, MemberId to, long term) {
        return LogMessage.newBuilder()
                .setGroup(GROUP)
                .setSender(from.encode())
                .setRecipient(to.encode())
                .setTerm(term);
    }

    private static LogMessage voteRequest(MemberId from, long term, long lastTerm, long lastIndex, boolean transfer) {
        return envelope(from, A, term)
                .setVoteRequest(VoteRequest.newBuilder()
                        .setTransfer(transfer)
                        .setCandidateTerm(term)
                        .setLast(Position.newBuilder().setTerm(lastTerm).setIndex(lastIndex)))
                .build();
    }

    private static LogMessage voteResponse(boolean preVote, long candidateTerm, long term) {
        LogMessage.Builder message = envelope(B, A, term);
        message.getVoteResponseBuilder().setPreVote(preVote).setGranted(true).setCandidateTerm(candidateTerm);
        return message.build();
    }

    private static LogMessage append(MemberId from, long term, MemberId to) {
        return envelope(from, to, term)
                .setAppendRequest(AppendRequest.newBuilder()
                        .addEntries(Entry.newBuilder().setIndex(1).setTerm(term))
                        .setLeaderLast(1))
                .build();
    }
}
