package org.borageproxy.command;

import java.util.UUID;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Creates, withdraws or lists callers' keys. Used by one thread. */
final class KeyCommand extends OperatorCommand {

    /** What to do. */
    @Argument(index = 0, required = true, metaVar = "create|withdraw|list", usage = "what to do")
    private String action;

    /** The workspace of a new key, or the identity of a key to withdraw. */
    @Argument(
            index = 1,
            metaVar = "WORKSPACE|IDENTITY",
            usage = "workspace of a new key, or identity of a withdrawn one")
    private String subject;

    /** The identity of the change. */
    @Option(name = "--identity", metaVar = "TEXT", usage = "identity of the change")
    private String identity = UUID.randomUUID().toString();

    @Override
    OperatorClient.Answer call(OperatorClient client) {
        return switch (action) {
            case "list" -> client.call(HttpMethod.GET, "/v1/keys", null);
            case "create" ->
                client.call(
                        HttpMethod.POST,
                        "/v1/keys",
                        new JsonObject().put("workspace", subject()).put("change_identity", identity));
            case "withdraw" -> client.call(HttpMethod.DELETE, "/v1/keys/" + subject(), null);
            default ->
                throw new CommandFailure(
                        ExitCode.USAGE, "expected create, withdraw or list instead of '" + action + "'");
        };
    }

    /**
     * Returns the workspace or identity.
     *
     * @return the argument
     */
    private String subject() {
        if (subject == null) {
            throw new CommandFailure(ExitCode.USAGE, "expected a workspace or an identity after '" + action + "'");
        }
        return subject;
    }
}
