package org.borageproxy.command;

import java.util.UUID;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Makes an earlier revision the newest one. Used by one thread. */
final class RollbackCommand extends OperatorCommand {

    /** The revision whose tree is taken. */
    @Argument(required = true, metaVar = "REVISION", usage = "the revision whose tree is taken")
    private long revision;

    /** The revision that the change was made from. */
    @Option(name = "--base", required = true, metaVar = "REVISION", usage = "the newest revision that you know of")
    private long base;

    /** The identity of the change. */
    @Option(name = "--identity", metaVar = "TEXT", usage = "identity of the change")
    private String identity = UUID.randomUUID().toString();

    @Override
    OperatorClient.Answer call(OperatorClient client) {
        JsonObject body = new JsonObject()
                .put("revision", revision)
                .put("base_revision", base)
                .put("change_identity", identity);
        return client.call(HttpMethod.POST, "/v1/rollback", body);
    }
}
