package org.borageproxy.command;

import java.util.UUID;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Creates, withdraws or lists API keys of callers. Not thread safe. */
final class KeyCommand extends OperatorCommand {

    @Argument(index = 0, required = true, metaVar = "create|withdraw|list", usage = "action")
    private String action;

    @Argument(
            index = 1,
            metaVar = "WORKSPACE|IDENTITY",
            usage = "workspace of the new key, or identity of the key to withdraw")
    private String subject;

    /** Makes the creation idempotent: the control group applies a change of the same identity only once. */
    @Option(name = "--identity", metaVar = "TEXT", usage = "identity of the change, if a key is created")
    private String changeIdentity = UUID.randomUUID().toString();

    @Override
    OperatorClient.Response call(OperatorClient client) {
        return switch (action) {
            case "list" -> client.call(HttpMethod.GET, "/v1/keys", null);
            case "create" ->
                client.call(
                        HttpMethod.POST,
                        "/v1/keys",
                        new JsonObject().put("workspace", requireSubject()).put("change_identity", changeIdentity));
            case "withdraw" -> client.call(HttpMethod.DELETE, "/v1/keys/" + requireSubject(), null);
            default ->
                throw new CommandFailure(
                        ExitCode.USAGE, "expected create, withdraw or list instead of '" + action + "'");
        };
    }

    /**
     * Returns the workspace or key identity, or fails the command if the argument is missing.
     *
     * @return the argument
     */
    private String requireSubject() {
        if (subject == null) {
            throw new CommandFailure(ExitCode.USAGE, "expected a workspace or an identity after '" + action + "'");
        }
        return subject;
    }
}
