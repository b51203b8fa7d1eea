package org.borageproxy.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Changes the settings tree. Used by one thread. */
final class ApplyCommand extends OperatorCommand {

    /** The file with the tree. */
    @Argument(required = true, metaVar = "TREE.toml", usage = "file with the whole tree")
    private String file;

    /** The revision that the change was made from. */
    @Option(
            name = "--base",
            metaVar = "REVISION",
            usage = "revision the change was made from; the newest one if absent")
    private Long base;

    /** The identity of the change. */
    @Option(
            name = "--identity",
            metaVar = "TEXT",
            usage = "identity of the change; give the same one again after a lost reply")
    private String identity = UUID.randomUUID().toString();

    /** The time to wait for all VMs in milliseconds. */
    @Option(name = "--wait", metaVar = "MILLIS", usage = "wait until every VM serves the change")
    private long waitMillis;

    @Override
    OperatorClient.Answer call(OperatorClient client) throws IOException {
        JsonObject body = new JsonObject()
                .put("document", Files.readString(Path.of(file)))
                .put("change_identity", identity)
                .put("base_revision", base == null ? newestRevision(client) : base)
                .put("wait_millis", waitMillis);
        return client.call(HttpMethod.POST, "/v1/tree", body);
    }

    /**
     * Asks for the newest revision.
     *
     * @param client the client
     * @return the revision
     */
    private static long newestRevision(OperatorClient client) {
        OperatorClient.Answer answer = client.call(HttpMethod.GET, "/v1/tree", null);
        if (!answer.isSuccess()) {
            throw new CommandFailure(exitCodeOf(answer), answer.body().encode());
        }
        return answer.body().getLong("revision", 0L);
    }
}
