package org.borageproxy.log.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.wire.proto.LogProtocol.LogMessage;
import org.borageproxy.wire.proto.LogProtocol.VoteRequest;
import org.borageproxy.wire.proto.LogProtocol.VoteResponse;

/**
 * Campaigns and votes. A member votes at most once in a term, only for a log that holds all that it acknowledged, and
 * not while a leader may hold a lease on its word. Not thread safe; used by the thread of the core.
 */
final class Elections {

    /** The member's state. */
    private final ReplicaState state;

    /** The members that support the campaign under way. */
    private final Set<MemberId> supporters = new HashSet<>();

    /**
     * Creates the elections of a member.
     *
     * @param state the member's state
     */
    Elections(ReplicaState state) {
        this.state = state;
    }

    /** Asks whether an election would succeed; a member that may not vote goes on waiting. */
    void startPreVote() {
        state.resetElectionTimer();
        if (!state.isVoter() || !mayElectSelf()) {
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
        request(true, false, state.term() + 1);
    }

    /**
     * Starts a term and asks for votes in it.
     *
     * @param transfer whether the leader asked this member to take over
     */
    void startElection(boolean transfer) {
        state.resetElectionTimer();
        state.enterTerm(state.term() + 1, Optional.of(state.self()));
        state.changeRole(Role.CANDIDATE, Optional.empty());
        supporters.clear();
        request(false, transfer, state.term());
    }

    /**
     * Takes over at the request of the leader.
     *
     * @param message the leader's request
     */
    void onCampaignNow(LogMessage message) {
        boolean current = message.getTerm() == state.term() && state.role() != Role.LEADER;
        if (current && state.isVoter() && mayElectSelf()) {
            startElection(true);
        }
    }

    /**
     * Counts this member's own vote once it is durable.
     *
     * @return {@code true} if the campaign succeeded
     */
    boolean onSynced() {
        if (state.role() != Role.CANDIDATE || !state.durability().isHardStateDurable()) {
            return false;
        }
        supporters.add(state.self());
        return state.log().members().isMajority(supporters);
    }

    /**
     * Answers a candidate. A member that caught up answers also before it learns that it became a voter, since the
     * candidate may need its vote.
     *
     * @param message the candidate's request
     * @param leaseHeld whether this member leads and holds its lease
     */
    void onVoteRequest(LogMessage message, boolean leaseHeld) {
        VoteRequest request = message.getVoteRequest();
        boolean bound = leaseHeld || state.role() != Role.LEADER && state.mayLeaderHoldLease();
        boolean entitled = state.isVoter() || state.isCaughtUp();
        if (!entitled || bound && !request.getTransfer()) {
            return;
        }
        MemberId candidate = MemberId.decode(message.getSender());
        if (request.getPreVote()) {
            answer(candidate, request, request.getCandidateTerm() > state.term() && mayElect(request));
            return;
        }
        if (request.getCandidateTerm() > state.term()) {
            state.becomeFollower(request.getCandidateTerm(), Optional.empty());
        }
        boolean free = state.votedFor().isEmpty() || state.votedFor().get().equals(candidate);
        boolean granted = request.getCandidateTerm() == state.term() && free && mayElect(request);
        if (granted) {
            state.grantVote(candidate);
            state.resetElectionTimer();
        }
        answer(candidate, request, granted);
    }

    /**
     * Counts a vote.
     *
     * @param message the answer of a voter
     * @return {@code true} if the campaign succeeded
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
     * Counts the promise of a vote, and starts a term once a majority promised.
     *
     * @param voter the voter
     * @param candidateTerm the term that the promise is for
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

    /**
     * Tells whether a vote for a candidate is safe.
     *
     * @param request the candidate's request
     * @return {@code true} if it is
     */
    private boolean mayElect(VoteRequest request) {
        return state.mayVoteFor(request.getLast().getTerm(), request.getLast().getIndex());
    }

    /**
     * Tells whether this member may vote for itself.
     *
     * @return {@code true} unless it never caught up
     */
    private boolean mayElectSelf() {
        return state.mayVoteFor(state.log().lastTerm(), state.log().lastIndex());
    }

    /**
     * Asks the other voters.
     *
     * @param preVote whether to ask for promises only
     * @param transfer whether the leader asked this member to take over
     * @param candidateTerm the term of the election
     */
    private void request(boolean preVote, boolean transfer, long candidateTerm) {
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

    /**
     * Answers a candidate once the vote is durable.
     *
     * @param candidate the candidate
     * @param request the request
     * @param granted whether the candidate gets the vote
     */
    private void answer(MemberId candidate, VoteRequest request, boolean granted) {
        VoteResponse response = VoteResponse.newBuilder()
                .setPreVote(request.getPreVote())
                .setGranted(granted)
                .setCandidateTerm(request.getCandidateTerm())
                .build();
        state.sendAfterHardState(candidate, LogMessage.newBuilder().setVoteResponse(response));
    }
}
