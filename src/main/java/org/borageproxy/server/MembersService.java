package org.borageproxy.server;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.log.ChangeOutcome;
import org.borageproxy.log.GroupMember;
import org.borageproxy.log.MemberStatus;
import org.borageproxy.log.consensus.MemberChange;
import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.MembersProtocol.MembersAnswer;
import org.borageproxy.wire.proto.MembersProtocol.MembersRequest;

/** Answers on a control VM what operators ask of the group's members. Immutable and thread safe. */
final class MembersService implements VmNetwork.Handler {

    /** The time allowed to a change. */
    private static final Duration CHANGE_TIME = Duration.ofSeconds(5);

    /** This VM's member. */
    private final GroupMember member;
    /** The clock of the deadlines. */
    private final MonotonicClock clock;

    /**
     * Creates a service.
     *
     * @param member this VM's member
     * @param clock the clock of the deadlines
     */
    MembersService(GroupMember member, MonotonicClock clock) {
        this.member = member;
        this.clock = clock;
    }

    @Override
    public CompletionStage<ByteString> handle(VmName sender, ByteString body) {
        try {
            return answer(MembersRequest.parseFrom(body)).thenApply(MembersAnswer::toByteString);
        } catch (InvalidProtocolBufferException | IllegalArgumentException exception) {
            MembersAnswer refused = refused(exception.getMessage()).build();
            return CompletableFuture.completedFuture(refused.toByteString());
        }
    }

    /**
     * Answers a request.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<MembersAnswer> answer(MembersRequest request) {
        if (request.getAction() == MembersRequest.Action.LIST) {
            return done(described(MembersAnswer.Result.DONE));
        }
        if (!member.isLeader()) {
            return done(described(MembersAnswer.Result.NOT_LEADER));
        }
        if (request.getAction() == MembersRequest.Action.TRANSFER_LEADERSHIP) {
            member.transferLeadership();
            return done(described(MembersAnswer.Result.DONE));
        }
        Deadline deadline = Deadline.after(clock.nanoTime(), CHANGE_TIME);
        return member.changeMembers(change(request), deadline).thenApply(this::answer);
    }

    /**
     * Returns the change that a request asks for.
     *
     * @param request the request
     * @return the change
     */
    private static MemberChange change(MembersRequest request) {
        MemberId subject = MemberId.parse(request.getMember());
        return switch (request.getAction()) {
            case ADD_LEARNER -> new MemberChange.AddLearner(subject);
            case PROMOTE -> new MemberChange.Promote(subject);
            case REMOVE -> new MemberChange.Remove(subject);
            default -> throw new IllegalArgumentException("Unknown action " + request.getAction());
        };
    }

    /**
     * Translates the outcome of a change.
     *
     * @param outcome the outcome
     * @return the answer
     */
    private MembersAnswer answer(ChangeOutcome outcome) {
        if (outcome instanceof ChangeOutcome.Committed) {
            return described(MembersAnswer.Result.DONE).build();
        }
        if (outcome instanceof ChangeOutcome.Refused refusal) {
            return refused(refusal.refusal().name()).build();
        }
        return described(MembersAnswer.Result.UNKNOWN).build();
    }

    /**
     * Starts the answer of a refusal.
     *
     * @param reason why
     * @return the builder
     */
    private MembersAnswer.Builder refused(String reason) {
        return described(MembersAnswer.Result.REFUSED).setReason(reason);
    }

    /**
     * Starts an answer with the members in force.
     *
     * @param result the result
     * @return the builder
     */
    private MembersAnswer.Builder described(MembersAnswer.Result result) {
        MemberStatus status = member.status();
        MembersAnswer.Builder answer = MembersAnswer.newBuilder()
                .setResult(result)
                .setTerm(status.term())
                .setCommit(status.commitIndex())
                .setLeader(member.leader().map(VmName::value).orElse(""));
        status.members().voters().forEach(voter -> answer.addVoters(voter.toString()));
        status.members().learners().forEach(learner -> answer.addLearners(learner.toString()));
        return answer;
    }

    /**
     * Completes with an answer.
     *
     * @param answer the builder
     * @return the completed answer
     */
    private static CompletionStage<MembersAnswer> done(MembersAnswer.Builder answer) {
        return CompletableFuture.completedFuture(answer.build());
    }
}
