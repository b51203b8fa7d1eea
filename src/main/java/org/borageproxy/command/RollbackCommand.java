package org.borageproxy.command;

import java.util.UUID;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Creates a new revision with the settings tree of an earlier one. Not thread safe. */
final class RollbackCommand extends OperatorCommand {

    @Argument(required = true, metaVar = "REVISION", usage = "revision whose tree is restored")
    private long restoredRevision;

    @Option(
            name = "--base",
            required = true,
            metaVar = "REVISION",
            usage = "current revision; the command fails if there is a later one")
    private long baseRevision;

    /** Makes the change idempotent: the control group applies a change of the same identity only once. */
    @Option(name = "--identity", metaVar = "TEXT", usage = "identity of the change")
    private String changeIdentity = UUID.randomUUID().toString();

    @Override
    OperatorClient.Response call(OperatorClient client) {
        JsonObject body = new JsonObject()
                .put("to_revision", restoredRevision)
                .put("base_revision", baseRevision)
                .put("change_identity", changeIdentity);
        return client.call(HttpMethod.POST, "/v1/rollback", body);
    }
}
