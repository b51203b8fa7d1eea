package org.borageproxy.command;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.kohsuke.args4j.Argument;

/** Lists or changes the members of the control group, or transfers its leadership. Not thread safe. */
final class MembersCommand extends OperatorCommand {

    @Argument(index = 0, metaVar = "list|add-learner|promote|remove|lead", usage = "action")
    private String action = "list";

    @Argument(
            index = 1,
            metaVar = "MEMBER",
            usage = "identity of the member, as listed; to promote or remove, the name of its VM is sufficient")
    private String member;

    @Override
    OperatorClient.Response call(OperatorClient client) {
        if (action.equals("list")) {
            return client.call(HttpMethod.GET, "/v1/members", null);
        }
        if (member == null) {
            throw new CommandFailure(ExitCode.USAGE, "expected a member after '" + action + "'");
        }
        JsonObject body = new JsonObject().put("action", action).put("member", member);
        return client.call(HttpMethod.POST, "/v1/members", body);
    }
}
