package org.borageproxy.log.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.VoteRequest;
import org.borageproxy.wire.proto.LogProtocol.VoteResponse;

/**
 * Elections with a pre-vote phase. A member votes at most once in a term, only for a candidate whose log is at least as
 * up to date as its own, and not while a leader may hold a lease that relies on this member. Not thread safe; used by
 * the core thread.
 */
final class Elections {

    private final ReplicaState state;

    /** The members that granted their vote or pre-vote in the current campaign. */
    private final Set<MemberId> supporters = new HashSet<>();

    Elections(ReplicaState state) {
        this.state = state;
    }

    /**
     * Starts a pre-vote, which asks whether an election would succeed without starting a term. A member that must not
     * campaign restarts its election timer and follows no leader.
     */
    void startPreVote() {
        state.resetElectionTimer();
        if (!state.isVoter() || !mayVoteForSelf()) {
            state.changeRole(Role.FOLLOWER, Optional.empty());
            return;
        }
        state.changeRole(Role.PRE_CANDIDATE, Optional.empty());
        supporters.clear();
        supporters.add(state.self());
        if (state.log().members().isMajority(supporters)) {
            startElection(false);
            return;
        }
        requestVotes(true, false, state.term() + 1);
    }

    /**
     * Starts a new term and requests votes in it.
     *
     * @param transfer whether the leader asked this member to take over
     */
    void startElection(boolean transfer) {
        state.resetElectionTimer();
        state.enterTerm(state.term() + 1, Optional.of(state.self()));
        state.changeRole(Role.CANDIDATE, Optional.empty());
        supporters.clear();
        requestVotes(false, transfer, state.term());
    }

    /** Starts an election at the request of the current leader, without a pre-vote. */
    void onCampaignNow(LogMessage message) {
        boolean isCurrentTerm = message.getTerm() == state.term() && state.role() != Role.LEADER;
        if (isCurrentTerm && state.isVoter() && mayVoteForSelf()) {
            startElection(true);
        }
    }

    /**
     * Counts this member's own vote once it is durable.
     *
     * @return {@code true} if the election is won
     */
    boolean onSynced() {
        if (state.role() != Role.CANDIDATE || !state.durability().isHardStateDurable()) {
            return false;
        }
        supporters.add(state.self());
        return state.log().members().isMajority(supporters);
    }

    /**
     * Answers a candidate, unless a leader's lease may rely on this member; a leadership transfer overrides that. A
     * member that has caught up may answer before it has learned of its promotion to voter, since the candidate may
     * need its vote.
     *
     * @param message the request
     * @param isLeaseHeld whether this member leads and its lease has not expired
     */
    void onVoteRequest(LogMessage message, boolean isLeaseHeld) {
        VoteRequest request = message.getVoteRequest();
        boolean isBoundToLease = isLeaseHeld || state.role() != Role.LEADER && state.mayLeaderHoldLease();
        boolean isEntitledToVote = state.isVoter() || state.isCaughtUp();
        if (!isEntitledToVote || isBoundToLease && !request.getTransfer()) {
            return;
        }
        MemberId candidate = MemberId.decode(message.getSender());
        if (request.getPreVote()) {
            respond(candidate, request, request.getCandidateTerm() > state.term() && mayVoteForCandidate(request));
            return;
        }
        if (request.getCandidateTerm() > state.term()) {
            state.becomeFollower(request.getCandidateTerm(), Optional.empty());
        }
        boolean hasFreeVote =
                state.votedFor().isEmpty() || state.votedFor().get().equals(candidate);
        boolean isGranted = request.getCandidateTerm() == state.term() && hasFreeVote && mayVoteForCandidate(request);
        if (isGranted) {
            state.grantVote(candidate);
            state.resetElectionTimer();
        }
        respond(candidate, request, isGranted);
    }

    /**
     * Counts a granted vote or pre-vote; a later term makes this member a follower.
     *
     * @return {@code true} if the election is won
     */
    boolean onVoteResponse(LogMessage message) {
        VoteResponse response = message.getVoteResponse();
        if (message.getTerm() > state.term()) {
            state.becomeFollower(message.getTerm(), Optional.empty());
            return false;
        }
        MemberId voter = MemberId.decode(message.getSender());
        if (!response.getGranted()) {
            return false;
        }
        if (response.getPreVote()) {
            countPreVote(voter, response.getCandidateTerm());
            return false;
        }
        if (state.role() != Role.CANDIDATE || response.getCandidateTerm() != state.term()) {
            return false;
        }
        supporters.add(voter);
        return state.log().members().isMajority(supporters);
    }

    /**
     * Counts a granted pre-vote, and starts the election once a majority granted one.
     *
     * @param voter the voter
     * @param candidateTerm the term for which the pre-vote was granted
     */
    private void countPreVote(MemberId voter, long candidateTerm) {
        if (state.role() != Role.PRE_CANDIDATE || candidateTerm != state.term() + 1) {
            return;
        }
        supporters.add(voter);
        if (state.log().members().isMajority(supporters)) {
            startElection(false);
        }
    }

    private boolean mayVoteForCandidate(VoteRequest request) {
        return state.mayVoteFor(request.getLast().getTerm(), request.getLast().getIndex());
    }

    /** Returns whether this member may campaign: not if it may have lost its data. */
    private boolean mayVoteForSelf() {
        return state.mayVoteFor(state.log().lastTerm(), state.log().lastIndex());
    }

    /**
     * Requests votes or pre-votes from the other voters.
     *
     * @param preVote whether to request pre-votes
     * @param transfer whether the leader asked this member to take over
     * @param candidateTerm the term of the election
     */
    private void requestVotes(boolean preVote, boolean transfer, long candidateTerm) {
        VoteRequest request = VoteRequest.newBuilder()
                .setPreVote(preVote)
                .setTransfer(transfer)
                .setLast(state.log().lastPosition())
                .setCandidateTerm(candidateTerm)
                .build();
        for (MemberId voter : state.log().members().voters()) {
            if (!voter.equals(state.self())) {
                state.sendAfterHardState(voter, LogMessage.newBuilder().setVoteRequest(request));
            }
        }
    }

    /** Answers a candidate once this member's term and vote are durable. */
    private void respond(MemberId candidate, VoteRequest request, boolean isGranted) {
        VoteResponse response = VoteResponse.newBuilder()
                .setPreVote(request.getPreVote())
                .setGranted(isGranted)
                .setCandidateTerm(request.getCandidateTerm())
                .build();
        state.sendAfterHardState(candidate, LogMessage.newBuilder().setVoteResponse(response));
    }
}
