package org.borageproxy.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Replaces the settings tree with the content of a file. Not thread safe. */
final class ApplyCommand extends OperatorCommand {

    @Argument(required = true, metaVar = "TREE.toml", usage = "file with the complete settings tree")
    private String treeFile;

    @Option(
            name = "--base",
            metaVar = "REVISION",
            usage = "revision on which the change is based; the current one if absent")
    private Long baseRevision;

    /** Makes the change idempotent: the control group applies a change of the same identity only once. */
    @Option(
            name = "--identity",
            metaVar = "TEXT",
            usage = "identity of the change; repeat the command with the same one if the reply was lost")
    private String changeIdentity = UUID.randomUUID().toString();

    @Option(name = "--wait", metaVar = "MILLIS", usage = "maximum time to wait until every VM serves the change")
    private long waitTimeoutMillis;

    @Override
    OperatorClient.Response call(OperatorClient client) throws IOException {
        JsonObject body = new JsonObject()
                .put("document", Files.readString(Path.of(treeFile)))
                .put("change_identity", changeIdentity)
                .put("base_revision", baseRevision == null ? currentRevision(client) : baseRevision)
                .put("wait_millis", waitTimeoutMillis);
        return client.call(HttpMethod.POST, "/v1/tree", body);
    }

    /**
     * Reads the number of the current revision.
     *
     * @param client the client
     * @return the revision, zero if no tree was applied yet
     */
    private static long currentRevision(OperatorClient client) {
        OperatorClient.Response response = client.call(HttpMethod.GET, "/v1/tree", null);
        if (!response.isSuccess()) {
            throw new CommandFailure(exitCodeOf(response), response.body().encode());
        }
        return response.body().getLong("revision", 0L);
    }
}
