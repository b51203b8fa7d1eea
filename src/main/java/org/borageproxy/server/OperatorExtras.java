package org.borageproxy.server;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.event.TimeLineEntry;
import org.borageproxy.operator.OperatorAnswer;
import org.borageproxy.operator.OperatorRequest;
import org.borageproxy.operator.OperatorRoute;
import org.borageproxy.result.ResultCode;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.MembersProtocol.MembersAnswer;
import org.borageproxy.wire.proto.MembersProtocol.MembersRequest;

/** The operators' routes that concern this process or the group's members. Immutable and thread safe. */
final class OperatorExtras {

    /** The number of events from each VM if the request names none. */
    private static final long DEFAULT_EVENTS = 1_000;

    /** Collects the time lines of all VMs. */
    private final FleetTimeLine timeLine;
    /** Reaches the leader of the control group. */
    private final MembersClient members;
    /** Starts the shutdown of this process. */
    private final Runnable drain;

    /**
     * Creates the routes.
     *
     * @param timeLine collects the time lines of all VMs
     * @param members reaches the leader of the control group
     * @param drain starts the shutdown of this process
     */
    OperatorExtras(FleetTimeLine timeLine, MembersClient members, Runnable drain) {
        this.timeLine = timeLine;
        this.members = members;
        this.drain = drain;
    }

    /**
     * Returns the routes.
     *
     * @return the routes
     */
    List<OperatorRoute> routes() {
        return List.of(
                new OperatorRoute("GET", "/v1/timeline", this::timeLine),
                new OperatorRoute("GET", "/v1/members", request -> members(MembersRequest.newBuilder())),
                new OperatorRoute("POST", "/v1/members", this::changeMembers),
                new OperatorRoute("POST", "/v1/drain", this::drain));
    }

    /**
     * Answers with the events of all VMs.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> timeLine(OperatorRequest request) {
        long after = request.queryNumber("after").orElse(0L);
        int most = (int) Math.min(Integer.MAX_VALUE, request.queryNumber("most").orElse(DEFAULT_EVENTS));
        return timeLine.collect(after, most).thenApply(OperatorExtras::rendered);
    }

    /**
     * Renders events.
     *
     * @param collected the events
     * @return the answer
     */
    private static OperatorAnswer rendered(FleetTimeLine.Collected collected) {
        JsonArray lines = new JsonArray();
        collected.entries().stream().map(TimeLineEntry::toLine).forEach(lines::add);
        JsonArray silent = new JsonArray();
        collected.silent().stream().map(VmName::value).forEach(silent::add);
        return OperatorAnswer.of(new JsonObject().put("lines", lines).put("silent", silent));
    }

    /**
     * Changes the members of the control group.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> changeMembers(OperatorRequest request) {
        String name = request.text("action").orElse("").replace('-', '_').toUpperCase(Locale.ROOT);
        String action = name.equals("LEAD") ? MembersRequest.Action.TRANSFER_LEADERSHIP.name() : name;
        try {
            return members(MembersRequest.newBuilder()
                    .setAction(MembersRequest.Action.valueOf(action))
                    .setMember(request.text("member").orElse("")));
        } catch (IllegalArgumentException exception) {
            OperatorAnswer refused = OperatorAnswer.failed(
                    ResultCode.MALFORMED_REQUEST, "action is one of add-learner, promote, remove, lead");
            return CompletableFuture.completedFuture(refused);
        }
    }

    /**
     * Sends a request about the members.
     *
     * @param request the request
     * @return the answer
     */
    private CompletionStage<OperatorAnswer> members(MembersRequest.Builder request) {
        return members.call(request.build())
                .handle((answer, failure) ->
                        failure == null ? rendered(answer) : OperatorAnswer.failed(ResultCode.NOT_LEADER));
    }

    /**
     * Renders the answer of the control group.
     *
     * @param answer the answer
     * @return the answer to the operator
     */
    private static OperatorAnswer rendered(MembersAnswer answer) {
        OperatorAnswer rendered =
                switch (answer.getResult()) {
                    case DONE -> OperatorAnswer.of(new JsonObject());
                    case UNKNOWN -> OperatorAnswer.failed(ResultCode.OUTCOME_UNKNOWN);
                    default -> OperatorAnswer.failed(ResultCode.MEMBERSHIP_CHANGE_REFUSED, answer.getReason());
                };
        return rendered.with("leader", answer.getLeader())
                .with("term", answer.getTerm())
                .with("commit", answer.getCommit())
                .with("voters", new JsonArray(List.copyOf(answer.getVotersList())))
                .with("learners", new JsonArray(List.copyOf(answer.getLearnersList())));
    }

    /**
     * Starts the shutdown of this process.
     *
     * @param request the request
     * @return the answer, which comes before the shutdown ends
     */
    private CompletionStage<OperatorAnswer> drain(OperatorRequest request) {
        drain.run();
        return CompletableFuture.completedFuture(OperatorAnswer.of(new JsonObject().put("draining", true)));
    }
}
