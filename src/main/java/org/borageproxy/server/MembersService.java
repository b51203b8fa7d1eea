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
import org.borageproxy.log.consensus.Members;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.MembersProtocol.MembersAnswer;
import org.borageproxy.wire.proto.MembersProtocol.MembersRequest;

/** Handles membership requests of operators on a VM of the control group. Immutable and thread safe. */
final class MembersService implements VmNetwork.Handler {

    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(5);

    private final GroupMember member;
    private final MonotonicClock clock;

    /**
     * Creates a service.
     *
     * @param member this VM's member of the group
     * @param clock the clock of the deadlines
     */
    MembersService(GroupMember member, MonotonicClock clock) {
        this.member = member;
        this.clock = clock;
    }

    @Override
    public CompletionStage<ByteString> handle(VmName sender, ByteString body) {
        try {
            return process(MembersRequest.parseFrom(body)).thenApply(MembersAnswer::toByteString);
        } catch (InvalidProtocolBufferException | IllegalArgumentException exception) {
            MembersAnswer refused = refusedAnswer(exception.getMessage()).build();
            return CompletableFuture.completedFuture(refused.toByteString());
        }
    }

    private CompletionStage<MembersAnswer> process(MembersRequest request) {
        if (request.getAction() == MembersRequest.Action.LIST) {
            return completed(answerWithStatus(MembersAnswer.Result.DONE));
        }
        if (!member.isLeader()) {
            return completed(answerWithStatus(MembersAnswer.Result.NOT_LEADER));
        }
        if (request.getAction() == MembersRequest.Action.TRANSFER_LEADERSHIP) {
            member.transferLeadership();
            return completed(answerWithStatus(MembersAnswer.Result.DONE));
        }
        Deadline deadline = Deadline.after(clock.nanoTime(), CHANGE_TIMEOUT);
        return member.changeMembers(parseChange(request, member.status().members()), deadline)
                .thenApply(this::toAnswer);
    }

    private static MemberChange parseChange(MembersRequest request, Members members) {
        String name = request.getMember();
        return switch (request.getAction()) {
            case ADD_LEARNER -> new MemberChange.AddLearner(MemberId.parse(name));
            case PROMOTE -> new MemberChange.Promote(Members.resolve(name, members.learners()));
            case REMOVE -> new MemberChange.Remove(Members.resolve(name, members.all()));
            default -> throw new IllegalArgumentException("Unknown action " + request.getAction());
        };
    }

    private MembersAnswer toAnswer(ChangeOutcome outcome) {
        if (outcome instanceof ChangeOutcome.Committed) {
            return answerWithStatus(MembersAnswer.Result.DONE).build();
        }
        if (outcome instanceof ChangeOutcome.Refused refused) {
            return refusedAnswer(refused.refusal().name()).build();
        }
        return answerWithStatus(MembersAnswer.Result.UNKNOWN).build();
    }

    private MembersAnswer.Builder refusedAnswer(String reason) {
        return answerWithStatus(MembersAnswer.Result.REFUSED).setReason(reason);
    }

    private MembersAnswer.Builder answerWithStatus(MembersAnswer.Result result) {
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

    private static CompletionStage<MembersAnswer> completed(MembersAnswer.Builder answer) {
        return CompletableFuture.completedFuture(answer.build());
    }
}
