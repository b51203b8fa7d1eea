package org.borageproxy.server;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.event.TimeLineEntry;
import org.borageproxy.operator.OperatorRequest;
import org.borageproxy.operator.OperatorResponse;
import org.borageproxy.operator.OperatorRoute;
import org.borageproxy.result.ResultCode;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.MembersProtocol.MembersAnswer;
import org.borageproxy.wire.proto.MembersProtocol.MembersRequest;

/** Operator routes for the time line, the members of the control group and the shutdown. Immutable and thread safe. */
final class MaintenanceRoutes {

    private static final long DEFAULT_MAX_EVENTS_PER_VM = 1_000;

    private final FleetTimeLine timeLine;
    private final MembersClient members;
    private final Runnable drain;

    /**
     * Creates the routes.
     *
     * @param timeLine collects the time lines of all VMs
     * @param members sends requests to the leader of the control group
     * @param drain starts the shutdown of this process without waiting for its end
     */
    MaintenanceRoutes(FleetTimeLine timeLine, MembersClient members, Runnable drain) {
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
                new OperatorRoute("GET", "/v1/members", request -> sendRequest(MembersRequest.newBuilder())),
                new OperatorRoute("POST", "/v1/members", this::changeMembers),
                new OperatorRoute("POST", "/v1/drain", this::drain));
    }

    private CompletionStage<OperatorResponse> timeLine(OperatorRequest request) {
        long after = request.queryNumberParameter("after").orElse(0L);
        int maxEvents = (int)
                Math.min(Integer.MAX_VALUE, request.queryNumberParameter("most").orElse(DEFAULT_MAX_EVENTS_PER_VM));
        return timeLine.collect(after, maxEvents).thenApply(MaintenanceRoutes::toAnswer);
    }

    private static OperatorResponse toAnswer(FleetTimeLine.CollectedEvents collected) {
        JsonArray lines = new JsonArray();
        collected.entries().stream().map(TimeLineEntry::toLine).forEach(lines::add);
        JsonArray unresponsiveVms = new JsonArray();
        collected.unresponsiveVms().stream().map(VmName::value).forEach(unresponsiveVms::add);
        return OperatorResponse.ok(new JsonObject().put("lines", lines).put("silent", unresponsiveVms));
    }

    private CompletionStage<OperatorResponse> changeMembers(OperatorRequest request) {
        String name = request.textField("action").orElse("").replace('-', '_').toUpperCase(Locale.ROOT);
        String action = name.equals("LEAD") ? MembersRequest.Action.TRANSFER_LEADERSHIP.name() : name;
        try {
            return sendRequest(MembersRequest.newBuilder()
                    .setAction(MembersRequest.Action.valueOf(action))
                    .setMember(request.textField("member").orElse("")));
        } catch (IllegalArgumentException exception) {
            OperatorResponse refused = OperatorResponse.error(
                    ResultCode.MALFORMED_REQUEST, "action is one of add-learner, promote, remove, lead");
            return CompletableFuture.completedFuture(refused);
        }
    }

    private CompletionStage<OperatorResponse> sendRequest(MembersRequest.Builder request) {
        return members.send(request.build())
                .handle((answer, failure) ->
                        failure == null ? toAnswer(answer) : OperatorResponse.error(ResultCode.NOT_LEADER));
    }

    private static OperatorResponse toAnswer(MembersAnswer answer) {
        OperatorResponse operatorAnswer =
                switch (answer.getResult()) {
                    case DONE -> OperatorResponse.ok(new JsonObject());
                    case UNKNOWN -> OperatorResponse.error(ResultCode.OUTCOME_UNKNOWN);
                    default -> OperatorResponse.error(ResultCode.MEMBERSHIP_CHANGE_REFUSED, answer.getReason());
                };
        return operatorAnswer
                .putField("leader", answer.getLeader())
                .putField("term", answer.getTerm())
                .putField("commit", answer.getCommit())
                .putField("voters", new JsonArray(List.copyOf(answer.getVotersList())))
                .putField("learners", new JsonArray(List.copyOf(answer.getLearnersList())));
    }

    private CompletionStage<OperatorResponse> drain(OperatorRequest request) {
        drain.run();
        return CompletableFuture.completedFuture(OperatorResponse.ok(new JsonObject().put("draining", true)));
    }
}
