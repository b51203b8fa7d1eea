package org.borageproxy.command;

import io.vertx.core.http.HttpMethod;
import org.kohsuke.args4j.Argument;

/** Prints the differences between two revisions of the settings tree. Not thread safe. */
final class DiffCommand extends OperatorCommand {

    @Argument(index = 0, required = true, metaVar = "FROM", usage = "earlier revision")
    private long fromRevision;

    @Argument(index = 1, required = true, metaVar = "TO", usage = "later revision")
    private long toRevision;

    @Override
    OperatorClient.Response call(OperatorClient client) {
        return client.call(HttpMethod.GET, "/v1/diff?from=" + fromRevision + "&to=" + toRevision, null);
    }
}
